import { RefusalReason } from "../calls/refusal_reason.ts";
import type { GateView } from "./gate_view.ts";

/** A closed gate changes its mind only with the register, so it is not asked again at once. */
const closedMilliseconds = 300;
/** The least time for which a full gate is not asked without leave to wait. */
const fullMilliseconds = 10;

/** Avoids a node for a while that refused a call. */
export function noteGateRefusal(
  view: GateView,
  options: {
    readonly reason: RefusalReason;
    readonly retryMilliseconds: number;
    readonly now: number;
  },
): void {
  const isFull = options.reason === RefusalReason.Full ||
    options.reason === RefusalReason.ColdStart;
  const span = isFull
    ? Math.min(fullMilliseconds, options.retryMilliseconds)
    : closedMilliseconds;
  view.avoidUntil = Math.max(view.avoidUntil, options.now + span);
}
