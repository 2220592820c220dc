import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { createLimitState } from "./create_limit_state.ts";
import { isSlowerThanUsual } from "./is_slower_than_usual.ts";

/** How often the wait before a step that was shed is doubled at most. */
const maximumDoublings = 3;

/**
 * Counts an answered call in a cold start. One step of the ramp takes a least
 * time and a least number of answers, and at least as many answers as the limit
 * allows calls at once.
 */
export function climbRamp(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { call, context, report } = outcome;
  const { limit } = state;
  if (report.dispatchedAt < limit.changedAt) return state;
  const isFull = call.occupiedSlots >= Math.floor(limit.current);
  const counted: AdmissionState = {
    ...state,
    limit: {
      ...limit,
      answered: limit.answered + 1,
      answeredWhenFull: limit.answeredWhenFull + (isFull ? 1 : 0),
    },
  };
  const isDue = counted.limit.answered >=
      Math.max(context.policy.rampStepAnswers, Math.floor(limit.current)) &&
    context.now >= getStepInstant(counted, outcome);
  return isDue ? climbStep(counted, context.now) : counted;
}

function getStepInstant(state: AdmissionState, outcome: CallOutcome): number {
  const { context } = outcome;
  const { policy } = context;
  const { limit } = state;
  const nextLimit = Math.floor(limit.current) + 1;
  if (limit.ceiling > 0 && nextLimit >= limit.ceiling) {
    const doublings = Math.min(maximumDoublings, limit.shedSteps - 1);
    return limit.changedAt + policy.cautiousStepMilliseconds * 2 ** doublings;
  }
  const isCautious = limit.answeredWhenFull === 0 ||
    state.probing.reportedState === "cold" ||
    isSlowerThanUsual(state, { factor: policy.cautiousSlowdown });
  return limit.changedAt +
    (isCautious
      ? policy.cautiousStepMilliseconds
      : policy.rampStepMilliseconds);
}

function climbStep(state: AdmissionState, now: number): AdmissionState {
  const { limit, serviceTime } = state;
  const slots = state.backendServer?.slots ?? 1;
  const current = Math.floor(limit.current) + 1;
  if (current <= slots) {
    const isPastCeiling = current > limit.ceiling;
    return {
      ...state,
      limit: {
        ...limit,
        current,
        changedAt: now,
        answered: 0,
        answeredWhenFull: 0,
        ceiling: isPastCeiling ? 0 : limit.ceiling,
        shedSteps: isPastCeiling ? 0 : limit.shedSteps,
      },
    };
  }
  return {
    ...state,
    backendServerState: BackendServerState.Ready,
    limit: createLimitState(slots, now),
    serviceTime: {
      ...serviceTime,
      usualMilliseconds: serviceTime.recentMilliseconds,
    },
  };
}
