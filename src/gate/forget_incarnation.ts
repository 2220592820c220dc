import type { GateState } from "./gate_state.ts";
import { StatedLimitKind } from "./stated_limit_kind.ts";

/** Forgets what the previous incarnation of the backend server stated. */
export function forgetIncarnation(state: GateState): void {
  state.statedLimit = { kind: StatedLimitKind.Unknown };
  state.departure = undefined;
}
