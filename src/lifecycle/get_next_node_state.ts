import { match, P } from "ts-pattern";
import { NodeState } from "../peers/node_state.ts";
import { NodeEventKind } from "./node_event_kind.ts";

/**
 * Returns the state that follows an event. Draining is final. A pause does not
 * affect a starting node, since it serves no calls before a configuration is
 * in force.
 */
export function getNextNodeState(
  state: NodeState,
  event: NodeEventKind,
): NodeState {
  return match([state, event] as const)
    .with([NodeState.Draining, P._], () => NodeState.Draining)
    .with([P._, NodeEventKind.StopRequested], () => NodeState.Draining)
    .with(
      [NodeState.Starting, NodeEventKind.ConfigurationInForce],
      () => NodeState.Serving,
    )
    .with(
      [NodeState.Serving, NodeEventKind.PauseDetected],
      () => NodeState.ConfirmingView,
    )
    .with(
      [NodeState.ConfirmingView, NodeEventKind.ViewConfirmed],
      () => NodeState.Serving,
    )
    .with([NodeState.Starting, P._], () => NodeState.Starting)
    .with([NodeState.Serving, P._], () => NodeState.Serving)
    .with([NodeState.ConfirmingView, P._], () => NodeState.ConfirmingView)
    .exhaustive();
}
