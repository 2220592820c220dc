import test from "ava";
import { NodeState } from "../peers/node_state.ts";
import { getNextNodeState } from "./get_next_node_state.ts";
import { NodeEventKind } from "./node_event_kind.ts";

test("getNextNodeState() returns the expected state for every state and event", (t) => {
  const states = Object.values(NodeState);
  const events = Object.values(NodeEventKind);
  const table = states.map((state) =>
    `${state}: ${
      events.map((event) => getNextNodeState(state, event)).join(", ")
    }`
  );
  // Each line: a state, then the next states after ConfigurationInForce,
  // PauseDetected, ViewConfirmed and StopRequested.
  t.deepEqual(table, [
    "starting: serving, starting, starting, draining",
    "serving: serving, confirming-view, serving, draining",
    "confirming-view: confirming-view, confirming-view, serving, draining",
    "draining: draining, draining, draining, draining",
  ]);
});
