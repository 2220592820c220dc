import type { Organisation } from "../organisations/organisation.ts";
import type { GranterState } from "../quotas/granter_state.ts";
import type { QuotaBounds } from "../quotas/quota_bounds.ts";
import type { Clock } from "../runtime/clock.ts";
import type { QuotaHolder } from "./quota_holder.ts";

/** What a node grants and holds of the organisations' quotas. Mutable. */
export interface QuotaState {
  /** For what must have ended after a time, also after a suspension. */
  readonly leaseClock: Clock;
  /** By name of the organisation; those with a quota only. */
  readonly granters: Map<string, GranterState>;
  /** By name of the organisation. */
  readonly holders: Map<string, QuotaHolder>;
  /** Tokens that this node has granted, by name of the organisation. */
  readonly grantedTokens: Map<string, number>;
  /** Hosts of the nodes that may grant, sorted; empty before the first reading. */
  hosts: readonly string[];
  /** The organisations and bounds that the granters' limits follow from. */
  organisations: ReadonlyMap<string, Organisation> | undefined;
  bounds: QuotaBounds | undefined;
  /** Lease instant of the last reading of the source; infinitely long ago before it. */
  confirmedAt: number;
}
