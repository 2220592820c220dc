import type { CallRoute } from "./call_route.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { ServiceRules } from "./service_rules.ts";

/** A version of the rules as what differs from an earlier one. */
export interface RulesChange {
  readonly version: number;
  /** The version that it changes; undefined where it holds everything. */
  readonly from: number | undefined;
  /** New and changed routes. */
  readonly routes: readonly CallRoute[];
  readonly removedRoutes: readonly string[];
  readonly services: readonly ServiceRules[];
  readonly limits: CallerLimits;
}
