import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { createLimitState } from "./create_limit_state.ts";
import { isSlowerThanBaseline } from "./is_slower_than_baseline.ts";

/** How often the wait before a step that was shed is doubled at most. */
const maximumDoublings = 3;

/**
 * Counts an answered call in a cold start. One step of the ramp takes a least
 * time and a least number of answers, and at least as many answers as the limit
 * allows calls at once.
 */
export function raiseRampLimit(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { call, context, report } = outcome;
  const { limit } = state;
  if (report.dispatchedAt < limit.changedAt) return state;
  const isAtLimit = call.occupiedSlots >= Math.floor(limit.current);
  const counted: AdmissionState = {
    ...state,
    limit: {
      ...limit,
      answered: limit.answered + 1,
      answeredAtLimit: limit.answeredAtLimit + (isAtLimit ? 1 : 0),
    },
  };
  const isDue = counted.limit.answered >=
      Math.max(context.policy.rampStepAnswers, Math.floor(limit.current)) &&
    context.now >= getRampStepInstant(counted, outcome);
  return isDue ? completeRampStep(counted, context.now) : counted;
}

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
    return limit.changedAt + policy.cautiousStepMilliseconds * 2 ** doublings;
  }
  const isCautious = limit.answeredAtLimit === 0 ||
    state.probing.reportedState === "cold" ||
    isSlowerThanBaseline(state, { factor: policy.cautiousSlowdown });
  return limit.changedAt +
    (isCautious
      ? policy.cautiousStepMilliseconds
      : policy.rampStepMilliseconds);
}

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
