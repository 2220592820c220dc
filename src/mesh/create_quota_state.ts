import type { Clock } from "../runtime/clock.ts";
import { createLeaseClock } from "../runtime/create_lease_clock.ts";
import { systemClock } from "../runtime/system_clock.ts";
import type { QuotaState } from "./quota_state.ts";

/** Creates the state of a node that knows of no quota. */
export function createQuotaState(clock: Clock): QuotaState {
  return {
    leaseClock: createLeaseClock({ steady: clock, timeOfDay: systemClock }),
    granters: new Map(),
    holders: new Map(),
    grantedTokens: new Map(),
    hosts: [],
    organisations: undefined,
    bounds: undefined,
    confirmedAt: Number.NEGATIVE_INFINITY,
  };
}
