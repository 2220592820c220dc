import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { emptyLimitPeriod } from "./empty_limit_period.ts";
import type { LimitPeriod } from "./limit_period.ts";

/** The number of answers in an evaluation period, as a multiple of the limit. */
const roundsPerPeriod = 4;

/**
 * Counts an answered call. An evaluation period that ends without overload
 * confirms the last raise, and the limit is raised again if calls reached it.
 */
export function evaluateLimitPeriod(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { limit } = state;
  const { context, report } = outcome;
  if (report.dispatchedAt < limit.changedAt) return state;
  const period = countAnswer(state, outcome);
  if (period.answered < roundsPerPeriod * Math.floor(limit.current)) {
    return { ...state, limit: { ...limit, period } };
  }
  const { lastStep } = limit;
  const slots = state.backendServer?.slots ?? 1;
  const isRaise = period.answeredAtLimit > 0 && limit.current < slots &&
    context.now >= lastStep.noRaiseBefore;
  return {
    ...state,
    limit: {
      ...limit,
      current: isRaise
        ? Math.min(slots, Math.floor(limit.current) + 1)
        : limit.current,
      changedAt: context.now,
      period: emptyLimitPeriod,
      lastStep: {
        ...lastStep,
        isRaise,
        previousLimit: limit.current,
        consecutiveReverts: lastStep.isRaise ? 0 : lastStep.consecutiveReverts,
      },
    },
  };
}

function countAnswer(
  state: AdmissionState,
  outcome: CallOutcome,
): LimitPeriod {
  const { current, period } = state.limit;
  const isAtLimit = outcome.call.occupiedSlots >= Math.floor(current);
  return {
    answered: period.answered + 1,
    answeredAtLimit: period.answeredAtLimit + (isAtLimit ? 1 : 0),
  };
}
