import type { RegisterEntry } from "../register/register_entry.ts";
import type { GateView } from "./gate_view.ts";

/** A backend server that may run a call, with this node's view of its gate. */
export interface GateCandidate {
  readonly entry: RegisterEntry;
  readonly view: GateView;
  /** Whether the register no longer lists the backend server. */
  readonly isRemoved: boolean;
}
