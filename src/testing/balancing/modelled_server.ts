import type { GateLoad } from "../../balancing/gate_load.ts";
import type { GateCandidate } from "../../balancing/gate_candidate.ts";
import type { GateState } from "../../gate/gate_state.ts";

/** A backend server of the model of choices. Mutable. */
export interface ModelledServer {
  readonly index: number;
  readonly entry: GateCandidate["entry"];
  readonly speed: number;
  /** The gate of the node beside it. */
  readonly gate: GateState;
  /** When each slot is free, in milliseconds. */
  readonly freeAt: number[];
  /** Time for which its slots were in use, in milliseconds. */
  usedMilliseconds: number;
  /** The load that the next reports state. */
  reported: GateLoad;
}
