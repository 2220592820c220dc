import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { emptyLimitPeriod } from "./empty_limit_period.ts";
import { revertRaise } from "./revert_raise.ts";

/**
 * Lowers the limit after overload. If the last step was a raise, it is reverted.
 * Otherwise the capacity of the backend server has decreased, and the limit is
 * multiplied by the decrease factor.
 */
export function stepBackLimit(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { limit } = state;
  const { context, report } = outcome;
  if (report.dispatchedAt < limit.changedAt) return state;
  if (limit.lastStep.isRaise) {
    return { ...state, limit: revertRaise(limit, context) };
  }
  const current = Math.max(1, limit.current * context.policy.decreaseFactor);
  return {
    ...state,
    limit: {
      ...limit,
      current,
      changedAt: context.now,
      period: emptyLimitPeriod,
      lastStep: {
        ...limit.lastStep,
        previousLimit: current,
        consecutiveReverts: 0,
      },
    },
  };
}
