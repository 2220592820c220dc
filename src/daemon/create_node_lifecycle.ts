import { getNextNodeState } from "../lifecycle/get_next_node_state.ts";
import { NodeState } from "../peers/node_state.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import type { AuditTrail } from "../telemetry/audit_trail.ts";
import type { NodeLifecycle } from "./node_lifecycle.ts";

const entryKinds: Readonly<Record<NodeState, AuditEntryKind>> = {
  [NodeState.Starting]: AuditEntryKind.NodeStarted,
  [NodeState.Serving]: AuditEntryKind.NodeReady,
  [NodeState.ConfirmingView]: AuditEntryKind.ProcessPaused,
  [NodeState.Draining]: AuditEntryKind.NodeStopping,
};

/** Creates the state of a node that starts; each change goes to the audit trail and to `onChange`. */
export function createNodeLifecycle(
  options: {
    readonly auditTrail: AuditTrail;
    readonly onChange: (state: NodeState) => void;
  },
): NodeLifecycle {
  let state = NodeState.Starting;
  options.auditTrail.record({
    kind: entryKinds[state],
    source: "self",
    reasons: [],
  });
  return {
    getState: () => state,
    notify: (event) => {
      const next = getNextNodeState(state, event);
      if (next === state) {
        return;
      }
      options.auditTrail.record({
        kind: entryKinds[next],
        source: "self",
        fromState: state,
        toState: next,
        reasons: [],
      });
      state = next;
      options.onChange(next);
    },
  };
}
