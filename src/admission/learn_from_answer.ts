import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { isSlowerThanUsual } from "./is_slower_than_usual.ts";
import type { RunningCall } from "./running_call.ts";

interface Options {
  readonly report: DispatchReport;
  readonly call: RunningCall;
  readonly context: AdmissionContext;
}

/** Raises the limit after a call that was answered whole, as the state of the backend server allows. */
export function learnFromAnswer(
  state: AdmissionState,
  options: Options,
): AdmissionState {
  const { report, context } = options;
  const answered: AdmissionState = {
    ...state,
    contact: {
      ...state.contact,
      backoffMilliseconds: 0,
      answeredDispatchAt: Math.max(
        state.contact.answeredDispatchAt,
        report.dispatchedAt,
      ),
    },
    limit: { ...state.limit, shedInARow: 0 },
  };
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      () => enterColdStart(answered, context.now),
    )
    .with(
      BackendServerState.Down,
      () =>
        report.dispatchedAt >= state.contact.downSince
          ? enterColdStart(answered, context.now)
          : state,
    )
    .with(BackendServerState.Cold, () => climbRamp(answered, options))
    .with(BackendServerState.Ready, () => raiseLimit(answered, options))
    .with(BackendServerState.Draining, () => answered)
    .exhaustive();
}

function climbRamp(state: AdmissionState, options: Options): AdmissionState {
  const { call, context, report } = options;
  const { limit } = state;
  const slots = state.backendServer?.slots ?? 1;
  if (report.dispatchedAt < limit.changedAt) return state;
  const isFull = call.occupiedSlots >= Math.floor(limit.current);
  const answered = limit.answered + 1;
  const answeredWhenFull = limit.answeredWhenFull + (isFull ? 1 : 0);
  const isCautious = answeredWhenFull === 0 ||
    state.probing.reportedState === "cold" ||
    isSlowerThanUsual(state, {
      factor: context.policy.cautiousSlowdown,
      context,
    });
  const stepAt = limit.changedAt +
    (isCautious
      ? context.policy.cautiousStepMilliseconds
      : context.policy.rampStepMilliseconds);
  if (answered < limit.current || context.now < stepAt) {
    return { ...state, limit: { ...limit, answered, answeredWhenFull } };
  }
  const climbed = {
    ...limit,
    current: Math.min(slots, Math.floor(limit.current) + 1),
    changedAt: context.now,
    answered: 0,
    answeredWhenFull: 0,
  };
  if (limit.current < slots) return { ...state, limit: climbed };
  return {
    ...state,
    limit: climbed,
    backendServerState: BackendServerState.Ready,
    serviceTime: {
      ...state.serviceTime,
      usualMilliseconds: state.serviceTime.recentMilliseconds,
    },
  };
}

function raiseLimit(state: AdmissionState, options: Options): AdmissionState {
  const { call, context } = options;
  const isRelapse = isSlowerThanUsual(state, {
    factor: context.policy.relapseSlowdown,
    context,
  });
  if (isRelapse) return enterColdStart(state, context.now);
  const { current } = state.limit;
  const slots = state.backendServer?.slots ?? 1;
  const isFull = call.occupiedSlots >= Math.floor(current);
  if (!isFull || current >= slots) return state;
  return {
    ...state,
    limit: { ...state.limit, current: Math.min(slots, current + 1 / current) },
  };
}
