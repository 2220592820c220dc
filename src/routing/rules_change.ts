import type { Organisation } from "../organisations/organisation.ts";
import type { CallRoute } from "./call_route.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { ServiceRules } from "./service_rules.ts";

/** A version of the rules, stated as the difference from an earlier one. */
export interface RulesChange {
  readonly version: number;
  /** The version that the change applies to; undefined if it contains the whole version. */
  readonly from: number | undefined;
  /** Added and changed routes. */
  readonly routes: readonly CallRoute[];
  /** Names of the routes to remove. */
  readonly removedRoutes: readonly string[];
  /** All services of the new version, whether changed or not. */
  readonly services: readonly ServiceRules[];
  readonly limits: CallerLimits;
  /** Added and changed organisations. */
  readonly organisations: readonly Organisation[];
  /** Names of the organisations to remove. */
  readonly removedOrganisations: readonly string[];
}
