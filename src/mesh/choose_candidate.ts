import { ChoiceWay } from "../balancing/choice_way.ts";
import { canStartAtOnce } from "../balancing/can_start_at_once.ts";
import { chooseFromSample } from "../balancing/choose_from_sample.ts";
import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { getMeanAnswerMilliseconds } from "../balancing/get_mean_answer_milliseconds.ts";
import { isOwnServerFirst } from "../balancing/is_own_server_first.ts";
import { rankCandidates } from "../balancing/rank_candidates.ts";
import type { RankingContext } from "../balancing/ranking_context.ts";
import type { ServiceCandidates } from "../balancing/service_candidates.ts";
import { hasDeparted } from "../register/has_departed.ts";
import type { CallProgress } from "./call_progress.ts";
import { chooseWaitingCandidate } from "./choose_waiting_candidate.ts";
import { getServiceCandidates } from "./get_service_candidates.ts";
import type { MeshNode } from "./mesh_node.ts";
import { refreshOwnLoad } from "./refresh_own_load.ts";
import { reportChoice } from "./report_choice.ts";

/**
 * A few full gates indicate the load of the others, so offering the call to
 * each one would cost more than the free slots it finds are worth.
 */
const firstRoundRefusalsMaximum = 6;
/** Includes the refusals of the waiting round. */
const allRefusalsMaximum = 9;
/** Up to this number, all candidates are compared: a sample would be as large. */
const comparedCandidatesMaximum = 5;

interface Choice {
  readonly candidate: GateCandidate;
  readonly way: ChoiceWay;
}

/**
 * Returns the best backend server for the next offer in this round; undefined
 * if none is left or enough of them are full. Gates known to be full are
 * candidates only in the waiting round, and only if the wait that they reported
 * is short enough.
 */
export function chooseCandidate(
  node: MeshNode,
  progress: CallProgress,
): GateCandidate | undefined {
  const refusalsMaximum = progress.isWaitingRound
    ? allRefusalsMaximum
    : firstRoundRefusalsMaximum;
  if (progress.fullRefusals >= refusalsMaximum) return undefined;
  const now = node.clock.now();
  const { route, service } = progress.plan;
  const candidates = getServiceCandidates(node, service);
  if (candidates.own !== undefined) refreshOwnLoad(node, candidates.own);
  const context = {
    now,
    random: node.random,
    route: route.name,
    meanAnswerMilliseconds: getMeanAnswerMilliseconds(candidates.serviceLoad, {
      route: route.name,
      goalMilliseconds: route.goalMilliseconds,
    }),
    goalMilliseconds: route.goalMilliseconds,
    ownZone: node.settings.zone,
    answerBytes: node.answerBytes.get(route.name) ?? 0,
  };
  const isCandidate = ({ entry }: GateCandidate) =>
    !progress.excluded.has(entry.identifier) &&
    !hasDeparted(node.departures, entry);
  if (progress.isWaitingRound) {
    const candidate = chooseWaitingCandidate(progress, {
      candidates,
      context,
      isCandidate,
    });
    reportChoice(node, candidate, ChoiceWay.Wait);
    return candidate;
  }
  const isUsable = (candidate: GateCandidate) =>
    candidate.view.fullUntil <= now &&
    !progress.reportedWaits.has(candidate.entry.identifier) &&
    isCandidate(candidate);
  const choice = choose(node, candidates, { ...context, isUsable });
  reportChoice(node, choice?.candidate, choice?.way);
  return choice?.candidate;
}

function choose(
  node: MeshNode,
  candidates: ServiceCandidates,
  context: RankingContext & {
    readonly isUsable: (candidate: GateCandidate) => boolean;
  },
): Choice | undefined {
  const { all, own } = candidates;
  const { isUsable } = context;
  const isOwnFirst = own !== undefined && isUsable(own) &&
    isOwnServerFirst(own, { ...context, gate: node.gate });
  if (isOwnFirst) return { candidate: own, way: ChoiceWay.Own };
  // The state of the own gate is known exactly: it is offered only what it can start.
  const isUsableInSample = (candidate: GateCandidate) =>
    isUsable(candidate) &&
    (candidate !== own || canStartAtOnce(node.gate, context.now));
  const sampled = all.length > comparedCandidatesMaximum
    ? chooseFromSample(candidates, { ...context, isUsable: isUsableInSample })
    : undefined;
  if (sampled !== undefined) {
    return { candidate: sampled, way: ChoiceWay.Sample };
  }
  const [best] = rankCandidates(all.filter(isUsable), context);
  return best === undefined
    ? undefined
    : { candidate: best, way: ChoiceWay.All };
}
