import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { emptyLimitPeriod } from "./empty_limit_period.ts";
import { holdLimit } from "./hold_limit.ts";
import type { LimitPeriod } from "./limit_period.ts";

/** A period has as many answers as this many rounds at the limit. */
const roundsInPeriod = 4;

/**
 * Counts an answered call and, at the end of a period without a shed, judges
 * the last raise by the latency: it is taken back, or the next one follows.
 */
export function judgeRaise(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { limit } = state;
  const { context, report } = outcome;
  if (report.dispatchedAt < limit.changedAt) return state;
  const period = countAnswer(state, outcome);
  if (period.answered < roundsInPeriod * Math.floor(limit.current)) {
    return { ...state, limit: { ...limit, period } };
  }
  const { judgement } = limit;
  const latencyMilliseconds = period.answeredMilliseconds / period.answered;
  const isSlower = judgement.raised &&
    latencyMilliseconds >
      context.policy.raiseLatencyTolerance * judgement.latencyMilliseconds;
  if (isSlower) return { ...state, limit: holdLimit(limit, context) };
  const slots = state.backendServer?.slots ?? 1;
  const raised = period.whenFull > 0 && limit.current < slots &&
    context.now >= judgement.holdUntil;
  return {
    ...state,
    limit: {
      ...limit,
      current: raised
        ? Math.min(slots, Math.floor(limit.current) + 1)
        : limit.current,
      changedAt: context.now,
      period: emptyLimitPeriod,
      judgement: {
        ...judgement,
        raised,
        limitBefore: limit.current,
        latencyMilliseconds,
        takenBack: judgement.raised ? 0 : judgement.takenBack,
      },
    },
  };
}

function countAnswer(
  state: AdmissionState,
  outcome: CallOutcome,
): LimitPeriod {
  const { current, period } = state.limit;
  const { call, context, report } = outcome;
  const isFull = call.occupiedSlots >= Math.floor(current);
  return {
    answered: period.answered + 1,
    whenFull: period.whenFull + (isFull ? 1 : 0),
    answeredMilliseconds: period.answeredMilliseconds +
      context.now - report.dispatchedAt,
  };
}
