import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { createLimitPeriod } from "./create_limit_period.ts";
import { DispatchResult } from "./dispatch_result.ts";
import type { LimitJudgement } from "./limit_judgement.ts";
import type { LimitState } from "./limit_state.ts";

/** A period has as many calls as this many rounds at the limit. */
const roundsInPeriod = 4;
/** By how much one signal must grow to count as worse. */
const latencyTolerance = 1.1;
const shedRateTolerance = 0.02;
/** The shed rate above which the limit is too high in any case. */
const shedRateAllowed = 0.1;
const maximumHoldPeriods = 32;

/**
 * Counts a call and, at the end of a period, judges the last step by latency
 * and shed rate together. A raise after which either grew worse is taken back,
 * and the next raise waits twice as long.
 */
export function judgeLimit(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { limit } = state;
  const { call, context, report } = outcome;
  if (report.dispatchedAt < limit.changedAt) return state;
  const isAnswered = report.result === DispatchResult.Answered;
  const period = {
    ...limit.period,
    answered: limit.period.answered + (isAnswered ? 1 : 0),
    shed: limit.period.shed + (isAnswered ? 0 : 1),
    whenFull: limit.period.whenFull +
      (call.occupiedSlots >= Math.floor(limit.current) ? 1 : 0),
    answeredMilliseconds: limit.period.answeredMilliseconds +
      (isAnswered ? context.now - report.dispatchedAt : 0),
  };
  const counted = { ...limit, period };
  const isOver = period.answered + period.shed >=
    roundsInPeriod * Math.floor(limit.current);
  if (!isOver) return { ...state, limit: counted };
  const slots = state.backendServer?.slots ?? 1;
  return { ...state, limit: decide(counted, { slots, outcome }) };
}

function decide(
  limit: LimitState,
  options: { readonly slots: number; readonly outcome: CallOutcome },
): LimitState {
  const { context } = options.outcome;
  const { judgement, period } = limit;
  const latencyMilliseconds = period.answeredMilliseconds /
    Math.max(1, period.answered);
  const shedRate = period.shed / (period.answered + period.shed);
  const isWorse =
    latencyMilliseconds > judgement.latencyMilliseconds * latencyTolerance ||
    shedRate > judgement.shedRate + shedRateTolerance;
  const signals = { latencyMilliseconds, shedRate, limitBefore: limit.current };
  const next = (
    current: number,
    change: Pick<LimitJudgement, "raised" | "holdPeriods" | "takenBack">,
  ): LimitState => ({
    ...limit,
    current: Math.max(1, Math.min(options.slots, current)),
    changedAt: context.now,
    period: createLimitPeriod(context.now),
    judgement: { ...signals, ...change },
  });
  if (judgement.raised && isWorse) {
    const takenBack = judgement.takenBack + 1;
    const holdPeriods = Math.min(maximumHoldPeriods, 2 ** takenBack);
    return next(judgement.limitBefore, {
      raised: false,
      holdPeriods,
      takenBack,
    });
  }
  if (shedRate > shedRateAllowed) {
    return next(limit.current * context.policy.decreaseFactor, {
      raised: false,
      holdPeriods: 1,
      takenBack: judgement.takenBack,
    });
  }
  const holdPeriods = Math.max(0, judgement.holdPeriods - 1);
  const canRaise = holdPeriods === 0 && period.whenFull > 0 &&
    limit.current < options.slots;
  return next(canRaise ? Math.floor(limit.current) + 1 : limit.current, {
    raised: canRaise,
    holdPeriods,
    takenBack: judgement.raised ? 0 : judgement.takenBack,
  });
}
