import { RefusalReason } from "../calls/refusal_reason.ts";
import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";
import { StatedLimitKind } from "./stated_limit_kind.ts";

/** Returns the reason for which an open gate admits no further call now. */
export function getFullReason(state: GateState, now: number): RefusalReason {
  if (isCold(state, now)) return RefusalReason.ColdStart;
  const { statedLimit } = state;
  const isLimited = statedLimit.kind === StatedLimitKind.Limited &&
    statedLimit.bucket.tokens < 1;
  return isLimited ? RefusalReason.RateLimited : RefusalReason.Full;
}
