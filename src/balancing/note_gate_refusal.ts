import { isFullReason } from "./is_full_reason.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { GateView } from "./gate_view.ts";

/** A closed gate changes its mind only with the register, so it is not asked again at once. */
const closedMilliseconds = 300;
/** A stopping node is gone for about this time. */
const stoppingMilliseconds = 2_000;
/** Part of a told wait for which the gate is taken to be full. */
const fullShare = 0.5;
const fullMillisecondsMaximum = 60;

/** Takes over why a node refused a call: a full gate is known to be full for a while, a closed one is avoided. */
export function noteGateRefusal(
  view: GateView,
  options: {
    readonly reason: RefusalReason;
    readonly retryMilliseconds: number;
    readonly now: number;
  },
): void {
  const { now, retryMilliseconds } = options;
  if (!isFullReason(options.reason)) {
    const span = options.reason === RefusalReason.NodeDraining
      ? stoppingMilliseconds
      : closedMilliseconds;
    view.avoidUntil = Math.max(view.avoidUntil, now + span);
    return;
  }
  view.waitMilliseconds = retryMilliseconds;
  view.fullUntil = now +
    Math.min(fullMillisecondsMaximum, retryMilliseconds * fullShare);
}
