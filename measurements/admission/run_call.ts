import { AdmissionDecisionKind } from "../../src/admission/admission_decision_kind.ts";
import { DispatchResult } from "../../src/admission/dispatch_result.ts";
import type { CallerClass } from "./caller_class.ts";
import type { ClassResult } from "./class_result.ts";
import type { RunContext } from "./run_context.ts";

/** Simulates one call from its arrival to its end; a refused call is not retried. */
export function runCall(
  caller: CallerClass,
  context: RunContext,
  options: { readonly callIdentifier: string },
): void {
  const { callIdentifier } = options;
  const { environment, random, runtime, server } = context;
  const { clock, timers } = environment;
  const arrivedAt = clock.now();
  const deadline = arrivedAt + caller.deadlineMilliseconds;
  const abandonsAt = random.next() < caller.abandoned
    ? arrivedAt + random.next() * caller.deadlineMilliseconds
    : Number.POSITIVE_INFINITY;
  const isAbandoned = abandonsAt < deadline;
  let dispatchedAt: number | undefined;

  function recordOutcome(change: Partial<ClassResult>): void {
    endTimer.cancel();
    context.count(caller.name, arrivedAt, change);
  }

  function reportResult(result: DispatchResult): void {
    if (dispatchedAt === undefined) return;
    runtime.report({ callIdentifier, result, dispatchedAt });
  }

  function handleEnd(): void {
    if (dispatchedAt === undefined) {
      if (isAbandoned) runtime.withdraw(callIdentifier);
      return;
    }
    recordOutcome(isAbandoned ? {} : { failed: 1 });
    server.cancel(callIdentifier);
    reportResult(
      isAbandoned ? DispatchResult.Cancelled : DispatchResult.Broken,
    );
  }

  function handleResult(result: DispatchResult): void {
    const isComplete = result === DispatchResult.Answered;
    const wholeMilliseconds = clock.now() - arrivedAt;
    recordOutcome(isComplete ? { whole: 1, wholeMilliseconds } : { failed: 1 });
    reportResult(result);
  }

  const endTimer = timers.at(Math.min(deadline, abandonsAt), handleEnd);
  context.count(caller.name, arrivedAt, { sent: 1 });
  runtime.request(
    { callIdentifier, priority: caller.priority, deadline },
    ({ kind }) => {
      if (kind === AdmissionDecisionKind.Refused) return recordOutcome({});
      dispatchedAt = clock.now();
      server.dispatch(callIdentifier, handleResult);
    },
  );
}
