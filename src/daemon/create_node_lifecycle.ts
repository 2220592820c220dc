import { getNextNodeState } from "../lifecycle/get_next_node_state.ts";
import { NodeEventKind } from "../lifecycle/node_event_kind.ts";
import { NodeState } from "../peers/node_state.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { AuditTrail } from "../telemetry/audit_trail.ts";
import type { NodeLifecycle } from "./node_lifecycle.ts";

/** The audit entry of each state change. The pause watch itself records a pause, with its duration. */
const entryKinds: Readonly<Record<NodeEventKind, AuditEntryKind | undefined>> =
  {
    [NodeEventKind.ConfigurationInForce]: AuditEntryKind.NodeReady,
    [NodeEventKind.PauseDetected]: undefined,
    [NodeEventKind.ViewConfirmed]: AuditEntryKind.ViewConfirmed,
    [NodeEventKind.StopRequested]: AuditEntryKind.NodeStopping,
  };

/**
 * Creates the lifecycle of a starting node. Each state change is recorded in the
 * audit trail and reported to `onChange`.
 */
export function createNodeLifecycle(
  options: {
    readonly auditTrail: AuditTrail;
    readonly onChange: (state: NodeState) => void;
  },
): NodeLifecycle {
  const auditTrail = options.auditTrail;
  let state = NodeState.Starting;
  auditTrail.record({
    kind: AuditEntryKind.NodeStarted,
    source: "self",
    reasons: [],
  });
  return {
    getState: () => state,
    handleEvent: (event) => {
      const previous = state;
      state = getNextNodeState(previous, event);
      if (state === previous) {
        return;
      }
      const kind = entryKinds[event];
      if (kind !== undefined) {
        auditTrail.record({
          kind,
          source: "self",
          fromState: previous,
          toState: state,
          reasons: [],
        });
      }
      options.onChange(state);
    },
  };
}
