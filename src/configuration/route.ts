import type { CallPriority } from "./call_priority.ts";

/** A rule that maps calls to a service. The first matching route of a configuration applies. */
export interface Route {
  /** The host of the call, in lower case and without port; undefined matches every host. */
  readonly host: string | undefined;
  /** Matches this path and every path that continues it after a `/`; `/` matches every path. */
  readonly pathPrefix: string;
  readonly service: string;
  readonly priority: CallPriority;
  /** The maximum time from arrival to deadline that a caller may request; also the default. */
  readonly deadlineMilliseconds: number;
  /** HTTP methods, in upper case, whose calls may be run more than once. */
  readonly idempotentMethods: readonly string[];
  /** Whether a call with any other method must have an `Idempotency-Key` header. */
  readonly requireIdempotencyKey: boolean;
}
