import type { GateLoad } from "./gate_load.ts";
import type { GateView } from "./gate_view.ts";
import { recordServiceLoad } from "./record_service_load.ts";

/** Records the load that a reply reports. A reply proves contact, so it resets the count of contact failures. */
export function recordLoad(
  view: GateView,
  options: { readonly load: GateLoad; readonly now: number },
): void {
  view.load = options.load;
  const { callsPerSecondLimit } = options.load;
  if (callsPerSecondLimit !== undefined) {
    view.callsPerSecondLimit = callsPerSecondLimit ?? undefined;
  }
  view.loadReceivedAt = options.now;
  view.inFlightAtLoad = view.inFlight;
  view.contactFailures = 0;
  recordServiceLoad(view.serviceLoad, options.load);
}
