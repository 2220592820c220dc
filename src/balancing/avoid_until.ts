import type { GateView } from "./gate_view.ts";

/**
 * Avoids a backend server until an instant in milliseconds since the Unix epoch,
 * without counting a failure.
 */
export function avoidUntil(view: GateView, instant: number): void {
  view.avoidUntil = Math.max(view.avoidUntil, instant);
}
