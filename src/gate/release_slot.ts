import { updateAverage } from "../collections/update_average.ts";
import type { GateState } from "./gate_state.ts";

/** Weight of the newest observation in the moving averages. */
const newestWeight = 0.1;

/**
 * Releases the slot of a call, if it has one. Only answered calls count towards
 * the average service times.
 */
export function releaseSlot(
  state: GateState,
  options: {
    readonly offerIdentifier: string;
    readonly answered: boolean;
    readonly now: number;
  },
): void {
  const call = state.running.get(options.offerIdentifier);
  if (call === undefined) return;
  state.running.delete(options.offerIdentifier);
  if (!options.answered) return;
  const elapsed = Math.max(1, options.now - call.startedAt);
  state.serviceMilliseconds += (elapsed - state.serviceMilliseconds) *
    newestWeight;
  updateAverage(state.serviceMillisecondsByRoute, call.route, {
    newest: elapsed,
    weight: newestWeight,
  });
}
