import type { CallKind } from "./call_kind.ts";
import type { RouteTarget } from "./route_target.ts";

/** The services that calls of one host and path prefix are sent to, and the limits of these calls. */
export interface CallRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** The most attempts for one call. */
  readonly attemptsMaximum: number;
  /** Maximum time from the receipt of a call to its response. */
  readonly timeoutMilliseconds: number;
  /** Latency goal: answers that take longer are late. */
  readonly goalMilliseconds: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether calls need no key even if the rules contain organisations. */
  readonly isPublic: boolean;
  /** The services that share the calls; at least one. */
  readonly targets: readonly RouteTarget[];
}
