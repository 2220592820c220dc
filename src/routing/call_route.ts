import type { CallKind } from "./call_kind.ts";
import type { RouteTarget } from "./route_target.ts";

/** Where requests of one host and path prefix go, and under which limits. */
export interface CallRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** The most backend servers that one request may be sent to. */
  readonly attemptsMaximum: number;
  /** The longest time that a caller is kept waiting. */
  readonly timeoutMilliseconds: number;
  /** The time within which an answer has its full worth. */
  readonly goalMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** At least one. */
  readonly targets: readonly RouteTarget[];
}
