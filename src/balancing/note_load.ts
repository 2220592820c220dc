import type { GateLoad } from "./gate_load.ts";
import type { GateView } from "./gate_view.ts";

/** Takes over the load that came with a reply, which also proves contact. */
export function noteLoad(
  view: GateView,
  options: { readonly load: GateLoad; readonly now: number },
): void {
  view.load = options.load;
  view.loadAt = options.now;
  view.loadInFlight = view.inFlight;
  view.contactFailures = 0;
}
