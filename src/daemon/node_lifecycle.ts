import type { NodeEventKind } from "../lifecycle/node_event_kind.ts";
import type { NodeState } from "../peers/node_state.ts";

/** The state machine of a node. */
export interface NodeLifecycle {
  getState(): NodeState;
  /** Handles one event; a resulting state change is recorded and reported. */
  handleEvent(event: NodeEventKind): void;
}
