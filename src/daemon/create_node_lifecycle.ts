import { getNextNodeState } from "../lifecycle/get_next_node_state.ts";
import { NodeEventKind } from "../lifecycle/node_event_kind.ts";
import { NodeState } from "../peers/node_state.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { AuditTrail } from "../telemetry/audit_trail.ts";
import type { NodeLifecycle } from "./node_lifecycle.ts";

/** The entry for each change of state; the pause watch records a pause itself, with its length. */
const entryKinds: Readonly<Record<NodeEventKind, AuditEntryKind | undefined>> =
  {
    [NodeEventKind.ConfigurationInForce]: AuditEntryKind.NodeReady,
    [NodeEventKind.PauseDetected]: undefined,
    [NodeEventKind.ViewConfirmed]: AuditEntryKind.ViewConfirmed,
    [NodeEventKind.StopRequested]: AuditEntryKind.NodeStopping,
  };

/** Creates the state of a node that starts; each change goes to the audit trail and to `onChange`. */
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
    notify: (event) => {
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
