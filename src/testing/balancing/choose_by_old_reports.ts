import type { GateView } from "../../balancing/gate_view.ts";
import { getObservationWeight } from "../../balancing/get_observation_weight.ts";
import type { ChoiceRule } from "./choice_rule.ts";

const reportAgeMillisecondsMaximum = 400;
const costAtGoal = 0.25;
const waitWeight = 2;
const jitter = 0.02;

/**
 * The rule before: every candidate is estimated, reports count in full until they
 * are too old, and the cheapest gets the call.
 */
export const chooseByOldReports: ChoiceRule = (
  { candidates, context, isUsable },
) => {
  const { now, meanAnswerMilliseconds: mean, goalMilliseconds } = context;
  const getCost = (view: GateView, slots: number) => {
    const observed = view.answerMilliseconds.get(context.route) ?? mean;
    const answer = mean + (observed - mean) * getObservationWeight(view, now);
    const excess = Math.max(0, estimateBusy(view, now) + 1 - slots);
    const latency = answer + excess * answer / slots * waitWeight;
    return costAtGoal * (latency / goalMilliseconds) ** 2 +
      context.random.next() * jitter;
  };
  return candidates.all.filter(isUsable)
    .map(({ entry, view }) => ({
      identifier: entry.identifier,
      cost: getCost(view, entry.slots),
    }))
    .sort((left, right) => left.cost - right.cost).at(0)?.identifier;
};

function estimateBusy(view: GateView, now: number): number {
  if (
    view.load === undefined ||
    view.loadReceivedAt + reportAgeMillisecondsMaximum < now
  ) {
    return view.inFlight;
  }
  const sentSince = view.inFlight - view.inFlightAtLoad;
  return Math.max(
    view.inFlight,
    view.load.running + view.load.queued + sentSince,
  );
}
