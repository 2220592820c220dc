import { estimateBusySlots } from "./estimate_busy_slots.ts";
import type { GateCandidate } from "./gate_candidate.ts";
import type { RankingContext } from "./ranking_context.ts";

/** Share of the goal that an answer from another zone costs at least. */
const otherZoneShare = 0.1;
/** Bytes of an answer from another zone that cost one more goal. */
const bytesPerGoal = 40_000;
const otherZoneShareMaximum = 0.5;
/** Share of the goal that a candidate costs which the register no longer lists. */
const vanishedShare = 1;
/** Cold backend servers take long and break easily. */
const coldShare = 0.5;
/** Spreads calls over equal candidates, as a share of the time to an answer. */
const jitterShare = 0.1;

/**
 * Estimates in milliseconds what an answer of this candidate costs the caller
 * and the operators: time to the answer, wait for a slot, bytes between
 * zones, and the risk of a failure.
 */
export function rateCandidate(
  candidate: GateCandidate,
  context: RankingContext & { readonly usualMilliseconds: number },
): number {
  const { entry, view } = candidate;
  const { goalMilliseconds, now, usualMilliseconds } = context;
  const answer = view.answerMilliseconds.get(context.route) ??
    usualMilliseconds;
  const slots = Math.max(1, view.load?.slots ?? entry.slots);
  const excess = Math.max(0, estimateBusySlots(view, now) + 1 - slots);
  const wait = excess * answer / slots;
  const zone = entry.zone === context.ownZone ? 0 : Math.min(
    otherZoneShareMaximum,
    otherZoneShare + context.answerBytes / bytesPerGoal,
  );
  const cold = entry.coldUntil > now || view.load?.cold === true
    ? coldShare
    : 0;
  const vanished = candidate.vanished ? vanishedShare : 0;
  const shares = zone + cold + vanished + view.failureShare;
  const jitter = context.random.next() * jitterShare * answer;
  return answer + wait + jitter + shares * goalMilliseconds;
}
