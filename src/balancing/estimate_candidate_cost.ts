import { estimateWaitMilliseconds } from "./estimate_wait_milliseconds.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import { getObservationWeight } from "./get_observation_weight.ts";
import { getSlowness } from "./get_slowness.ts";
import type { RankingContext } from "./ranking_context.ts";

/**
 * Cost of an answer that takes as long as the goal. Service times vary, so the
 * risk of a late answer grows with the square of the expected time.
 */
const costAtGoal = 0.25;
/** A call that waits may lose its slot to a newer one, so its wait weighs more than its service time. */
const waitWeight = 2;
/** Cost of a kilobyte sent between zones, which the operators pay for. */
const costOfKilobyte = 0.03;
/** Size of the headers of a call and its answer between two nodes. */
const headerKilobytes = 1;
const bytesPerKilobyte = 1_000;
/** Cost of a candidate that the register no longer lists, since it may have stopped. */
const costOfRemoved = 0.5;
/** Cost of a backend server in cold start, which is slow and fails easily. */
const costOfCold = 0.25;
/** Upper bound of a random cost that spreads calls over equal candidates. */
const jitter = 0.02;

/**
 * Estimates the cost of sending a call to a candidate, as a share of the value
 * of its answer that is lost: the risk of an answer after the goal, which
 * includes the wait for a slot, the price of bytes between zones, and the risk
 * of a failure.
 */
export function estimateCandidateCost(
  candidate: GateCandidate,
  context: RankingContext,
): number {
  const { entry, view } = candidate;
  const { goalMilliseconds, now, meanAnswerMilliseconds } = context;
  const answerMilliseconds = meanAnswerMilliseconds * getSlowness(view, now);
  const slots = Math.max(1, view.load?.slots ?? entry.slots);
  const waitMilliseconds = estimateWaitMilliseconds(view, {
    slots,
    answerMilliseconds,
    now,
  });
  const relativeLatency = (answerMilliseconds + waitMilliseconds * waitWeight) /
    goalMilliseconds;
  const latencyCost = costAtGoal * relativeLatency * relativeLatency;
  const kilobytes = headerKilobytes + context.answerBytes / bytesPerKilobyte;
  const zoneCost = entry.zone === context.ownZone
    ? 0
    : costOfKilobyte * kilobytes;
  const coldCost = entry.coldUntil > now || view.load?.cold === true
    ? costOfCold
    : 0;
  const removalCost = candidate.isRemoved ? costOfRemoved : 0;
  return latencyCost + zoneCost + coldCost + removalCost +
    view.failureRate * getObservationWeight(view, now) +
    context.random.next() * jitter;
}
