import type { Organisation } from "../organisations/organisation.ts";
import type { CallRoute } from "./call_route.ts";
import type { CallerLimits } from "./caller_limits.ts";
import type { ServiceRules } from "./service_rules.ts";

/** One version of the operators' rules. A version comes into force as a whole. */
export interface Rules {
  readonly version: number;
  readonly routes: readonly CallRoute[];
  /** By service name. */
  readonly services: ReadonlyMap<string, ServiceRules>;
  readonly limits: CallerLimits;
  /** By name. If there is none, calls need no key. */
  readonly organisations: ReadonlyMap<string, Organisation>;
}
