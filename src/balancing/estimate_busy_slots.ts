import type { GateView } from "./gate_view.ts";

/** Age after which a reported load no longer describes the present. */
const loadAgeMillisecondsMaximum = 400;

/**
 * Estimates how many calls run at a backend server or wait for a slot, from the
 * load that it reported last and the calls that this node has sent since.
 * Without a recent report, only the calls of this node are counted.
 */
export function estimateBusySlots(view: GateView, now: number): number {
  if (
    view.load === undefined ||
    view.loadReceivedAt + loadAgeMillisecondsMaximum < now
  ) {
    return view.inFlight;
  }
  const sentSince = view.inFlight - view.inFlightAtLoad;
  return Math.max(
    view.inFlight,
    view.load.running + view.load.queued + sentSince,
  );
}
