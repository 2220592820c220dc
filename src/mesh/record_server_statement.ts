import { recordUnlimitedAnswer } from "../gate/record_unlimited_answer.ts";
import { setStatedLimit } from "../gate/set_stated_limit.ts";
import type { ServerDeparture } from "../register/server_departure.ts";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import { getOwnServerIdentifier } from "./get_own_server_identifier.ts";
import type { MeshNode } from "./mesh_node.ts";
import { reportStatementChange } from "./report_statement_change.ts";
import { updateGate } from "./update_gate.ts";

/**
 * Records what the backend server of this VM states about itself in an answer.
 * Any answer may state a limit; only one to a call that has run shows that there
 * is none, since an early rejection or the answer to a probe may not state it.
 */
export function recordServerStatement(
  node: MeshNode,
  head: BackendAnswerHead,
  options: {
    /**
     * When the call was sent that the backend server has run, in milliseconds
     * since the Unix epoch; undefined if it answered something else.
     */
    readonly ranSince: number | undefined;
  },
): void {
  const { gate } = node;
  const { callsPerSecondLimit, leaving } = head;
  const { ranSince } = options;
  const now = node.clock.now();
  reportStatementChange(node, () => {
    if (leaving) gate.departure ??= createDeparture(node);
    if (callsPerSecondLimit !== undefined) {
      setStatedLimit(gate, { callsPerSecond: callsPerSecondLimit, now });
      return;
    }
    if (ranSince === undefined || !head.signed) return;
    recordUnlimitedAnswer(gate, { sentAt: ranSince });
  });
  // Closes the gate for the calls that follow.
  if (leaving) updateGate(node);
}

/** Returns undefined if it is not known which incarnation has answered. */
function createDeparture(node: MeshNode): ServerDeparture | undefined {
  const identifier = getOwnServerIdentifier(node);
  if (identifier === undefined) return undefined;
  const entry = node.view.register.get(identifier)?.entry;
  return entry === undefined
    ? { identifier }
    : { identifier, bornAt: entry.bornAt };
}
