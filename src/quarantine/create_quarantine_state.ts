import type { QuarantineState } from "./quarantine_state.ts";

/** Creates the state of a node that knows of no crash and no answer. */
export function createQuarantineState(): QuarantineState {
  return { suspects: new Map(), answeredAt: new Map() };
}
