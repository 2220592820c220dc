import type { GateView } from "./gate_view.ts";
import { getObservationWeight } from "./get_observation_weight.ts";

/** Share of failed calls, weighted by their age, above which it counts as failing. */
const failureRateMaximum = 0.1;

/** Whether the backend server has failed calls of this node of late. */
export function isFailing(view: GateView, now: number): boolean {
  return view.failureRate * getObservationWeight(view, now) >
    failureRateMaximum;
}
