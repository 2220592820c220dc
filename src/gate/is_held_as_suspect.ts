import type { GateState } from "./gate_state.ts";
import type { SlotRequest } from "./slot_request.ts";

/**
 * Whether a call waits for another one to end because backend servers crashed
 * while they ran either of them. They run one at a time, so that a further crash
 * tells which one is the cause.
 */
export function isHeldAsSuspect(
  state: GateState,
  { getFingerprint }: SlotRequest,
): boolean {
  const { suspects, running } = state;
  if (suspects.size === 0 || !suspects.has(getFingerprint())) return false;
  return Array.from(running.values())
    .some((call) => suspects.has(call.getFingerprint()));
}
