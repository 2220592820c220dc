import type { RegisterEntry } from "../register/register_entry.ts";
import type { GateView } from "./gate_view.ts";

/** A backend server that may serve a call, with the view of the node beside it. */
export interface GateCandidate {
  readonly entry: RegisterEntry;
  readonly view: GateView;
  /** Whether the register no longer lists it. */
  readonly vanished: boolean;
}
