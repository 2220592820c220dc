import { AdmissionDecisionKind } from "../../src/admission/admission_decision_kind.ts";
import { DispatchResult } from "../../src/admission/dispatch_result.ts";
import type { CallerClass } from "./caller_class.ts";
import type { ClassResult } from "./class_result.ts";
import type { RunParts } from "./run_parts.ts";

/** Runs one call from its arrival to its end; a refused caller does not come back. */
export function runCall(
  caller: CallerClass,
  parts: RunParts,
  options: { readonly callIdentifier: string },
): void {
  const { callIdentifier } = options;
  const { environment, random, runtime, server } = parts;
  const { clock, timers } = environment;
  const arrivedAt = clock.now();
  const deadline = arrivedAt + caller.deadlineMilliseconds;
  const leavesAt = random.next() < caller.abandoned
    ? arrivedAt + random.next() * caller.deadlineMilliseconds
    : Number.POSITIVE_INFINITY;
  const hasLeft = leavesAt < deadline;
  let dispatchedAt: number | undefined;

  function settle(change: Partial<ClassResult>): void {
    end.cancel();
    parts.count(caller.name, arrivedAt, change);
  }

  function report(result: DispatchResult): void {
    if (dispatchedAt === undefined) return;
    runtime.report({ callIdentifier, result, dispatchedAt });
  }

  function giveUp(): void {
    if (dispatchedAt === undefined) {
      if (hasLeft) runtime.withdraw(callIdentifier);
      return;
    }
    settle(hasLeft ? {} : { failed: 1 });
    server.cancel(callIdentifier);
    report(hasLeft ? DispatchResult.Cancelled : DispatchResult.Broken);
  }

  function finish(result: DispatchResult): void {
    const isWhole = result === DispatchResult.Answered;
    const wholeMilliseconds = clock.now() - arrivedAt;
    settle(isWhole ? { whole: 1, wholeMilliseconds } : { failed: 1 });
    report(result);
  }

  const end = timers.at(Math.min(deadline, leavesAt), giveUp);
  parts.count(caller.name, arrivedAt, { sent: 1 });
  runtime.request(
    { callIdentifier, priority: caller.priority, deadline },
    ({ kind }) => {
      if (kind === AdmissionDecisionKind.Refused) return settle({});
      dispatchedAt = clock.now();
      server.dispatch(callIdentifier, finish);
    },
  );
}
