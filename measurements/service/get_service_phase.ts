import { ServicePhase } from "./service_phase.ts";
import type { ServiceTimeline } from "./service_timeline.ts";

/** Returns the phase of a run that contains the given second. */
export function getServicePhase(
  second: number,
  timeline: ServiceTimeline,
): ServicePhase {
  if (second < timeline.outSecond) {
    return ServicePhase.Before;
  }
  return second < timeline.returnSecond
    ? ServicePhase.TakenOut
    : ServicePhase.Returned;
}
