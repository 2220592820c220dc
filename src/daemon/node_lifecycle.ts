import type { NodeEventKind } from "../lifecycle/node_event_kind.ts";
import type { NodeState } from "../peers/node_state.ts";

/** Holds the state of a node. */
export interface NodeLifecycle {
  getState(): NodeState;
  /** Feeds one event; the listeners learn of a change of state. */
  notify(event: NodeEventKind): void;
}
