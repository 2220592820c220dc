import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { emptyLimitPeriod } from "./empty_limit_period.ts";
import { holdLimit } from "./hold_limit.ts";

/**
 * Follows a shed: a raise that brought it on is taken back; where the last step
 * was no raise, the backend server bears less than before and the limit falls
 * by a factor.
 */
export function takeBackStep(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { limit } = state;
  const { context, report } = outcome;
  if (report.dispatchedAt < limit.changedAt) return state;
  if (limit.judgement.raised) {
    return { ...state, limit: holdLimit(limit, context) };
  }
  const current = Math.max(1, limit.current * context.policy.decreaseFactor);
  return {
    ...state,
    limit: {
      ...limit,
      current,
      changedAt: context.now,
      period: emptyLimitPeriod,
      judgement: { ...limit.judgement, limitBefore: current, takenBack: 0 },
    },
  };
}
