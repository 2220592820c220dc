import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";
import { StatedLimitKind } from "./stated_limit_kind.ts";
import type { TokenBucket } from "./token_bucket.ts";

/** Returns the rate limits that apply to the backend server now. */
export function listActiveBuckets(
  state: GateState,
  now: number,
): readonly TokenBucket[] {
  const { statedLimit, coldBucket } = state;
  return [
    ...(isCold(state, now) ? [coldBucket] : []),
    ...(statedLimit.kind === StatedLimitKind.Limited
      ? [statedLimit.bucket]
      : []),
  ];
}
