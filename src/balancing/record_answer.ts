import type { GateView } from "./gate_view.ts";
import { getObservationWeight } from "./get_observation_weight.ts";
import { recordAnswerTime } from "./record_answer_time.ts";

/** Weight of the newest outcome in the failure rate. */
const newestFailureWeight = 0.2;

/**
 * Records an answer of the backend server in the moving averages. A failed call
 * counts only towards the failure rate.
 */
export function recordAnswer(
  view: GateView,
  options: {
    readonly route: string;
    readonly elapsedMilliseconds: number;
    readonly failed: boolean;
    readonly now: number;
  },
): void {
  const previous = view.failureRate * getObservationWeight(view, options.now);
  view.failureRate = previous +
    ((options.failed ? 1 : 0) - previous) * newestFailureWeight;
  view.lastOutcomeAt = options.now;
  if (!options.failed) recordAnswerTime(view, options);
}
