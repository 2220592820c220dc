import type { AdmissionDecision } from "../../src/admission/admission_decision.ts";
import { AdmissionDecisionKind } from "../../src/admission/admission_decision_kind.ts";
import { createAdmissionPolicy } from "../../src/admission/create_admission_policy.ts";
import { createAdmissionRuntime } from "../../src/admission/create_admission_runtime.ts";
import { DispatchResult } from "../../src/admission/dispatch_result.ts";
import { createFakeBackendServer } from "../../src/admission/testing/create_fake_backend_server.ts";
import { createTestEnvironment } from "../../src/admission/testing/create_test_environment.ts";
import { createTestSettings } from "../../src/admission/testing/create_test_settings.ts";
import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import { createRandomSource } from "../../src/runtime/create_random_source.ts";
import type { CallerClass } from "./caller_class.ts";
import type { ClassResult } from "./class_result.ts";
import type { RunOptions } from "./run_options.ts";
import type { RunResult } from "./run_result.ts";

const registeredSlots = 12;
const registeredColdSlots = 2;
const queuedCalls = 24;
const returnWindowMilliseconds = 100;
const limitWatchMilliseconds = 50;

/** Runs callers against one admission and one fake backend server, in virtual time. */
export async function runAdmission(options: RunOptions): Promise<RunResult> {
  const environment = createTestEnvironment(options.seed);
  const { burst } = options;
  const { clock, timers } = environment;
  const startedAt = clock.now();
  const endsAt = startedAt + options.runMilliseconds;
  const countFrom = startedAt + (options.countFromMilliseconds ?? 0);
  const server = createFakeBackendServer({
    clock,
    timers,
    random: createRandomSource(options.seed + 1_000),
    slots: registeredSlots,
    coldSlots: registeredColdSlots,
    serviceMilliseconds: 40,
    coldSlowdown: 1,
    warmingCalls: 1,
    kneeSlots: registeredSlots,
    crowdingPower: 1,
    fallSheds: 20,
    restartMilliseconds: 2_000,
    letGoMilliseconds: 10,
    oneWayMilliseconds: 0.5,
    probeMilliseconds: 6,
    ...options.server,
  });
  const settings = createTestSettings();
  const runtime = createAdmissionRuntime({
    settings,
    environment,
    prober: server.prober,
    policy: {
      ...createAdmissionPolicy(settings),
      queuedCalls,
      ...options.policy,
    },
  });
  const callers = createRandomSource(options.seed + 2_000);
  const results = new Map<string, ClassResult>();
  const returns = new Map<number, number>();
  const refusedWaiting = { calls: 0, milliseconds: 0 };
  let nextCall = 0;
  let fullLimitAt = Number.POSITIVE_INFINITY;
  const lastEventAt = startedAt +
    Math.max(0, ...options.events.map((event) => event.atMilliseconds));

  function count(
    caller: CallerClass,
    arrivedAt: number,
    change: Partial<ClassResult>,
  ): void {
    if (arrivedAt < countFrom) return;
    const result = results.get(caller.name) ?? {
      sent: 0,
      whole: 0,
      abandoned: 0,
      refused: 0,
      failed: 0,
      wholeMilliseconds: 0,
    };
    results.set(caller.name, {
      sent: result.sent + (change.sent ?? 0),
      whole: result.whole + (change.whole ?? 0),
      abandoned: result.abandoned + (change.abandoned ?? 0),
      refused: result.refused + (change.refused ?? 0),
      failed: result.failed + (change.failed ?? 0),
      wholeMilliseconds: result.wholeMilliseconds +
        (change.wholeMilliseconds ?? 0),
    });
  }

  /** One call from its arrival to its end; the caller does not come back. */
  function call(caller: CallerClass): void {
    const callIdentifier = `call-${nextCall++}`;
    const arrivedAt = clock.now();
    const deadline = arrivedAt + caller.deadlineMilliseconds;
    const leavesAt = callers.next() < caller.abandoned
      ? arrivedAt + callers.next() * caller.deadlineMilliseconds
      : Number.POSITIVE_INFINITY;
    const end = { dispatchedAt: 0, isOver: false };
    const settle = (change: Partial<ClassResult>) => {
      end.isOver = true;
      limitTimer.cancel();
      count(caller, arrivedAt, change);
    };
    const report = (result: DispatchResult) =>
      runtime.report({
        callIdentifier,
        result,
        dispatchedAt: end.dispatchedAt,
      });
    const limitTimer = timers.at(Math.min(deadline, leavesAt), () => {
      const hasLeft = leavesAt < deadline;
      if (end.dispatchedAt === 0) {
        if (!hasLeft) return;
        settle({ abandoned: 1 });
        return runtime.withdraw(callIdentifier);
      }
      settle(hasLeft ? { abandoned: 1 } : { failed: 1 });
      server.cancel(callIdentifier);
      report(hasLeft ? DispatchResult.Cancelled : DispatchResult.Broken);
    });
    count(caller, arrivedAt, { sent: 1 });
    runtime.request(
      { callIdentifier, priority: caller.priority, deadline },
      (decision) => {
        if (decision.kind === AdmissionDecisionKind.Refused) {
          noteRefusal(decision, arrivedAt);
          return settle({ refused: 1 });
        }
        end.dispatchedAt = clock.now();
        server.dispatch(callIdentifier, (result) => {
          const isWhole = result === DispatchResult.Answered;
          settle(
            isWhole
              ? { whole: 1, wholeMilliseconds: clock.now() - arrivedAt }
              : { failed: 1 },
          );
          report(result);
        });
      },
    );
  }

  function noteRefusal(
    decision: Extract<
      AdmissionDecision,
      { readonly kind: AdmissionDecisionKind.Refused }
    >,
    arrivedAt: number,
  ): void {
    const window = Math.floor(decision.retryAt / returnWindowMilliseconds);
    returns.set(window, (returns.get(window) ?? 0) + 1);
    const waited = clock.now() - arrivedAt;
    if (waited <= 0) return;
    refusedWaiting.calls += 1;
    refusedWaiting.milliseconds += waited;
  }

  function setArrival(caller: CallerClass): void {
    const gap = -Math.log(1 - callers.next()) * 1_000 / caller.callsPerSecond;
    const instant = clock.now() + gap;
    if (instant >= endsAt) return;
    timers.at(instant, () => {
      call(caller);
      setArrival(caller);
    });
  }

  function watchLimit(): void {
    timers.at(clock.now() + limitWatchMilliseconds, () => {
      const { limit } = runtime.getStatus();
      if (
        clock.now() > lastEventAt && limit === registeredSlots &&
        fullLimitAt === Number.POSITIVE_INFINITY
      ) fullLimitAt = clock.now();
      if (clock.now() < endsAt) watchLimit();
    });
  }

  runtime.applySnapshot(
    createTestSnapshot({
      slots: registeredSlots,
      coldSlots: registeredColdSlots,
    }),
  );
  runtime.start();
  options.classes.forEach(setArrival);
  options.events.forEach((event) =>
    timers.at(
      startedAt + event.atMilliseconds,
      () => event.run({ runtime, server }),
    )
  );
  if (burst !== undefined) {
    timers.at(
      startedAt + burst.atMilliseconds,
      () =>
        Array.from(
          { length: burst.calls },
          (_, place) => options.classes[place % options.classes.length],
        ).forEach((caller) => caller !== undefined && call(caller)),
    );
  }
  watchLimit();
  await environment.advanceTo(endsAt);
  runtime.stop();
  return {
    classes: Object.fromEntries(results),
    server: server.getCounts(),
    fullLimitAfterMilliseconds: fullLimitAt - lastEventAt,
    refusedWaiting,
    peakReturns: Math.max(0, ...returns.values()),
  };
}
