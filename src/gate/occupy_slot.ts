import type { GateState } from "./gate_state.ts";
import { listActiveBuckets } from "./list_active_buckets.ts";
import type { SlotRequest } from "./slot_request.ts";

/** Assigns a slot to a call, which uses a token of each rate limit that applies. */
export function occupySlot(
  state: GateState,
  options: { readonly request: SlotRequest; readonly now: number },
): void {
  const { offerIdentifier, route, getFingerprint, isNested, shareKey } =
    options.request;
  state.running.set(offerIdentifier, {
    route,
    getFingerprint,
    isNested,
    shareKey,
    startedAt: options.now,
  });
  listActiveBuckets(state, options.now).forEach((bucket) => {
    bucket.tokens -= 1;
  });
}
