import type { GateView } from "./gate_view.ts";

/** How long a told load says something about the present. */
const loadMilliseconds = 400;

/** Estimates how many calls are at a backend server or wait for it. */
export function estimateBusySlots(view: GateView, now: number): number {
  if (view.load === undefined || view.loadAt + loadMilliseconds < now) {
    return view.inFlight;
  }
  const since = view.inFlight - view.loadInFlight;
  return Math.max(
    view.inFlight,
    view.load.running + view.load.queued + since,
  );
}
