import type { OpenGate } from "../capacity/open_gate.ts";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { reportMilliseconds } from "../capacity/report_milliseconds.ts";
import type { CallPlan } from "./call_plan.ts";
import { listCandidates } from "./list_candidates.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Share of the goal that an answer is assumed to take if none was observed. */
const defaultAnswerShare = 0.3;

/** Returns the gates that a call may be offered to and that are not avoided. */
export function listOpenGates(
  node: MeshNode,
  plan: CallPlan,
): readonly OpenGate[] {
  const now = node.clock.now();
  const { name, goalMilliseconds } = plan.route;
  return listCandidates(node, plan.service)
    .filter(({ view }) => view.avoidUntil <= now)
    .map((candidate) => ({
      identifier: candidate.entry.identifier,
      zone: candidate.entry.zone,
      slots: candidate.entry.slots,
      coldUntil: getColdUntil(candidate),
      answerMilliseconds: candidate.view.answerMilliseconds.get(name) ??
        goalMilliseconds * defaultAnswerShare,
    }));
}

/** A gate that just reported a cold start counts as cold before the register does. */
function getColdUntil({ entry, view }: GateCandidate): number {
  return view.load?.cold === true
    ? Math.max(entry.coldUntil, view.loadReceivedAt + reportMilliseconds)
    : entry.coldUntil;
}
