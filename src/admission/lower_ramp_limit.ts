import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";

/**
 * Lowers the limit of an overloaded backend server in cold start and records
 * the limit at which the overload occurred.
 */
export function lowerRampLimit(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { context, report } = outcome;
  const { limit } = state;
  if (report.dispatchedAt < limit.changedAt) return state;
  const shedLimit = Math.floor(limit.current);
  return {
    ...state,
    limit: {
      ...limit,
      current: Math.max(1, limit.current * context.policy.decreaseFactor),
      changedAt: context.now,
      answered: 0,
      answeredAtLimit: 0,
      shedLimit,
      consecutiveSheds: shedLimit === limit.shedLimit
        ? limit.consecutiveSheds + 1
        : 1,
    },
  };
}
