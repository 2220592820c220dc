import { estimateBusySlots } from "./estimate_busy_slots.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import { getRememberedShare } from "./get_remembered_share.ts";
import type { RankingContext } from "./ranking_context.ts";

/**
 * Share of a call's worth that is lost where its answer takes as long as the
 * goal. Work times scatter, so the risk to be late grows with the square.
 */
const lossAtGoal = 0.25;
/** A call that waits may lose its slot to a newer one, so its wait weighs more than its work. */
const waitWeight = 2;
/** Share of a call's worth that a kilobyte between zones costs the operators. */
const lossOfKilobyte = 0.03;
/** Headers of a call and its answer between two nodes. */
const headerKilobytes = 1;
const bytesPerKilobyte = 1_000;
/** A candidate that the register no longer lists may well be gone. */
const lossOfVanished = 0.5;
/** Cold backend servers take long and break easily. */
const lossOfCold = 0.25;
/** Spreads calls over equal candidates. */
const jitter = 0.02;

/**
 * Estimates which share of a call's worth is lost with this candidate: the
 * risk of an answer after the goal, with the wait for a slot, the price of
 * bytes between zones, and the risk of a failure.
 */
export function rateCandidate(
  candidate: GateCandidate,
  context: RankingContext & { readonly usualMilliseconds: number },
): number {
  const { entry, view } = candidate;
  const { goalMilliseconds, now, usualMilliseconds } = context;
  const remembered = getRememberedShare(view, now);
  const seen = view.answerMilliseconds.get(context.route) ?? usualMilliseconds;
  const answer = usualMilliseconds + (seen - usualMilliseconds) * remembered;
  const slots = Math.max(1, view.load?.slots ?? entry.slots);
  const excess = Math.max(0, estimateBusySlots(view, now) + 1 - slots);
  const wait = excess * answer / slots;
  const goals = (answer + wait * waitWeight) / goalMilliseconds;
  const late = lossAtGoal * goals * goals;
  const kilobytes = headerKilobytes + context.answerBytes / bytesPerKilobyte;
  const zone = entry.zone === context.ownZone ? 0 : lossOfKilobyte * kilobytes;
  const cold = entry.coldUntil > now || view.load?.cold === true
    ? lossOfCold
    : 0;
  const vanished = candidate.vanished ? lossOfVanished : 0;
  return late + zone + cold + vanished + view.failureShare * remembered +
    context.random.next() * jitter;
}
