import { updateAverage } from "../collections/update_average.ts";
import type { GateState } from "./gate_state.ts";

/** Share of the newest observation in the moving averages. */
const newestShare = 0.1;

/** Returns the slot of a call. Only calls that were answered count for the service time. */
export function releaseSlot(
  state: GateState,
  options: {
    readonly callIdentifier: string;
    readonly answered: boolean;
    readonly now: number;
  },
): void {
  const call = state.running.get(options.callIdentifier);
  if (call === undefined) return;
  state.running.delete(options.callIdentifier);
  if (!options.answered) return;
  const elapsed = Math.max(1, options.now - call.startedAt);
  state.serviceMilliseconds += (elapsed - state.serviceMilliseconds) *
    newestShare;
  updateAverage(state.routeMilliseconds, call.route, {
    newest: elapsed,
    share: newestShare,
  });
}
