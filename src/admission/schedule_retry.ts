import { RefusalReason } from "../calls/refusal_reason.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { getEffectiveLimit } from "./get_effective_limit.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";
import type { ScheduledRetry } from "./scheduled_retry.ts";

/**
 * Computes when a refused call may be retried. If the service rate is known,
 * each capacity refusal is scheduled after the previous ones, so that retries
 * arrive at the rate at which they can be served. Jitter of 25 % in either
 * direction prevents simultaneous retries.
 */
export function scheduleRetry(
  state: AdmissionState,
  reason: RefusalReason,
  context: AdmissionContext,
): ScheduledRetry {
  const { now, policy } = context;
  const isCapacityRefusal = reason === RefusalReason.Full ||
    reason === RefusalReason.ColdStart;
  if (!isCapacityRefusal || state.serviceTime.samples === 0) {
    const earliest = reason === RefusalReason.BackendServerDown
      ? Math.max(now, state.reachability.trialAt)
      : now;
    return {
      state,
      retryAt: jitter(earliest, policy.defaultRetryMilliseconds, context),
    };
  }
  const millisecondsPerCall = state.serviceTime.recentMilliseconds /
    Math.max(1, getEffectiveLimit(state));
  const backlog = getOccupiedSlots(state) + state.queue.length;
  const scheduledUntil = Math.min(
    now + policy.maximumRetryMilliseconds,
    Math.max(state.retriesScheduledUntil, now + backlog * millisecondsPerCall) +
      millisecondsPerCall,
  );
  return {
    state: { ...state, retriesScheduledUntil: scheduledUntil },
    retryAt: jitter(now, scheduledUntil - now, context),
  };
}

function jitter(
  earliest: number,
  delayMilliseconds: number,
  context: AdmissionContext,
): number {
  const factor = 0.75 + 0.5 * context.random.next();
  return Math.ceil(earliest + Math.max(1, delayMilliseconds * factor));
}
