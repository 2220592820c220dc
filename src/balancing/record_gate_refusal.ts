import { isFullReason } from "./is_full_reason.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { GateView } from "./gate_view.ts";

/**
 * How long a closed gate is avoided. It does not reopen when a slot becomes free,
 * but only when the state that closed it changes, such as the register.
 */
const closedAvoidMilliseconds = 300;
/** How long a draining node is avoided; approximately the time for which it is unavailable. */
const drainingAvoidMilliseconds = 2_000;
/** Share of a reported wait for which the gate is assumed to be full. */
const fullWaitShare = 0.5;
const fullMillisecondsMaximum = 60;

/**
 * Records the reason for which a node refused a call. A full gate is assumed to
 * stay full for a part of the wait that it reported; a closed gate is avoided.
 */
export function recordGateRefusal(
  view: GateView,
  options: {
    readonly reason: RefusalReason;
    readonly retryMilliseconds: number;
    readonly now: number;
  },
): void {
  const { now, retryMilliseconds } = options;
  if (!isFullReason(options.reason)) {
    const delay = options.reason === RefusalReason.NodeDraining
      ? drainingAvoidMilliseconds
      : closedAvoidMilliseconds;
    view.avoidUntil = Math.max(view.avoidUntil, now + delay);
    return;
  }
  view.waitMilliseconds = retryMilliseconds;
  view.fullUntil = now +
    Math.min(fullMillisecondsMaximum, retryMilliseconds * fullWaitShare);
}
