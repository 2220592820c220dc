import type { CallPriority } from "./call_priority.ts";

/** A rule that sends calls to a service. The first route that fits is taken. */
export interface Route {
  /** The host that a call names, without port, in lower case; undefined fits every host. */
  readonly host: string | undefined;
  /** The path that the call's path equals or continues after a `/`; `/` fits every path. */
  readonly pathPrefix: string;
  readonly service: string;
  readonly priority: CallPriority;
  /** The longest time from arrival to deadline that a caller may ask for; also the default. */
  readonly deadlineMilliseconds: number;
  /** HTTP methods, in upper case, that may be run more than once. */
  readonly idempotentMethods: readonly string[];
  /** Whether a call with another method must carry an `Idempotency-Key`. */
  readonly requireIdempotencyKey: boolean;
}
