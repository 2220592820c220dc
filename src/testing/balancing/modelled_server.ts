import type { GateCandidate } from "../../balancing/gate_candidate.ts";
import type { GateState } from "../../gate/gate_state.ts";

/** A backend server of the model of choices. Mutable. */
export interface ModelledServer {
  readonly index: number;
  readonly entry: GateCandidate["entry"];
  readonly speed: number;
  /** The gate of the node beside it, with its running and queued calls. */
  readonly gate: GateState;
  /** When each slot is free, in milliseconds. */
  readonly freeAt: number[];
  /** Time for which its slots were in use, in milliseconds. */
  usedMilliseconds: number;
  /** The number of calls that the next reports state. */
  reported: { running: number; queued: number };
}
