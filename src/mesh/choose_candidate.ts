import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { rankCandidates } from "../balancing/rank_candidates.ts";
import type { CallPlan } from "./call_plan.ts";
import type { CallRun } from "./call_run.ts";
import { listCandidates } from "./list_candidates.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the best backend server that was not asked yet in this round; undefined where none is left. */
export function chooseCandidate(
  node: MeshNode,
  plan: CallPlan,
  run: CallRun,
): GateCandidate | undefined {
  const candidates = listCandidates(node, plan.service).filter(({ entry }) =>
    !run.asked.has(entry.identifier)
  );
  const ranked = rankCandidates(candidates, {
    now: node.clock.now(),
    random: node.random,
    route: plan.route.name,
    goalMilliseconds: plan.route.goalMilliseconds,
    ownZone: node.settings.zone,
    ownHost: node.settings.backendServer.host,
    answerBytes: node.answerBytes.get(plan.route.name) ?? 0,
  });
  if (!run.mayWait) return ranked[0];
  const getWait = ({ entry }: GateCandidate) =>
    run.waits.get(entry.identifier) ?? 0;
  return ranked.toSorted((left, right) => getWait(left) - getWait(right))[0];
}
