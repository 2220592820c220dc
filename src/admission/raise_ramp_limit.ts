import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { createLimitState } from "./create_limit_state.ts";
import { isSlowerThanBaseline } from "./is_slower_than_baseline.ts";

/**
 * The maximum number of doublings of the delay before the ramp returns to a
 * limit at which overload occurred.
 */
const maximumDoublings = 3;

/**
 * Counts an answered call during a cold start and raises the limit when the next
 * step of the ramp is due. Each step takes a minimum time, a minimum number of
 * answers, and at least as many answers as the limit allows concurrent calls.
 */
export function raiseRampLimit(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { call, context, report } = outcome;
  const { limit } = state;
  if (report.dispatchedAt < limit.changedAt) return state;
  const isAtLimit = call.occupiedSlots >= Math.floor(limit.current);
  const updated: AdmissionState = {
    ...state,
    limit: {
      ...limit,
      answered: limit.answered + 1,
      answeredAtLimit: limit.answeredAtLimit + (isAtLimit ? 1 : 0),
    },
  };
  const isDue = updated.limit.answered >=
      Math.max(context.policy.rampStepAnswers, Math.floor(limit.current)) &&
    context.now >= getRampStepInstant(updated, outcome);
  return isDue ? completeRampStep(updated, context.now) : updated;
}

/** Returns the earliest instant of the next step, in milliseconds since the Unix epoch. */
function getRampStepInstant(
  state: AdmissionState,
  outcome: CallOutcome,
): number {
  const { context } = outcome;
  const { policy } = context;
  const { limit } = state;
  const nextLimit = Math.floor(limit.current) + 1;
  if (limit.shedLimit > 0 && nextLimit >= limit.shedLimit) {
    const doublings = Math.min(maximumDoublings, limit.consecutiveSheds - 1);
    return limit.changedAt + policy.slowRampStepMilliseconds * 2 ** doublings;
  }
  const isSlowStep = limit.answeredAtLimit === 0 ||
    state.probing.reportedState === "cold" ||
    isSlowerThanBaseline(state, { factor: policy.slowRampServiceTimeFactor });
  return limit.changedAt +
    (isSlowStep
      ? policy.slowRampStepMilliseconds
      : policy.rampStepMilliseconds);
}

/** Raises the limit by one; above the slots, ends the cold start. */
function completeRampStep(state: AdmissionState, now: number): AdmissionState {
  const { limit, serviceTime } = state;
  const slots = state.backendServer?.slots ?? 1;
  const current = Math.floor(limit.current) + 1;
  if (current <= slots) {
    const isAboveShedLimit = current > limit.shedLimit;
    return {
      ...state,
      limit: {
        ...limit,
        current,
        changedAt: now,
        answered: 0,
        answeredAtLimit: 0,
        shedLimit: isAboveShedLimit ? 0 : limit.shedLimit,
        consecutiveSheds: isAboveShedLimit ? 0 : limit.consecutiveSheds,
      },
    };
  }
  return {
    ...state,
    backendServerState: BackendServerState.Ready,
    limit: createLimitState(slots, now),
    serviceTime: {
      ...serviceTime,
      baselineMilliseconds: serviceTime.recentMilliseconds,
    },
  };
}
