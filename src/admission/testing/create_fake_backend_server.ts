import { Result } from "true-myth";
import { createDiagnostic } from "../../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../../diagnostics/diagnostic_code.ts";
import type { TimerHandle } from "../../runtime/timer_handle.ts";
import { DispatchResult } from "../dispatch_result.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import type { FakeBackendServerOptions } from "./fake_backend_server_options.ts";

interface DispatchedCall {
  readonly callIdentifier: string;
  readonly finish: (result: DispatchResult) => void;
  isCancelled: boolean;
  end: TimerHandle | undefined;
}

/** The period over which shed calls are counted for a crash. */
const shedWindowMilliseconds = 1_000;

/** Creates a simulated backend server that starts cold. */
export function createFakeBackendServer(
  options: FakeBackendServerOptions,
): FakeBackendServer {
  const { clock, oneWayMilliseconds, random, timers } = options;
  const counts = { answered: 0, shed: 0, refused: 0, falls: 0, peakRunning: 0 };
  const dispatchedCalls = new Map<string, DispatchedCall>();
  const running = new Set<DispatchedCall>();
  let slots = options.slots;
  let answeredSinceCold = 0;
  let downUntil = 0;
  let recentShedInstants: readonly number[] = [];

  const after = (milliseconds: number, callback: () => void) =>
    timers.at(clock.now() + milliseconds, callback);
  const isDown = () => clock.now() < downUntil;
  const getCapacity = () =>
    Math.min(
      slots,
      options.coldSlots + Math.floor(answeredSinceCold / options.warmingCalls),
    );
  const isCold = () => getCapacity() < slots;

  function getServiceMilliseconds(): number {
    const warmUpShare = Math.min(
      1,
      answeredSinceCold / (options.warmingCalls * options.slots),
    );
    const slowdown = options.coldSlowdown +
      (1 - options.coldSlowdown) * warmUpShare;
    const contention = Math.max(1, running.size / options.kneeSlots) **
      options.crowdingPower;
    const variation = 0.5 - 0.5 * Math.log(1 - random.next());
    return options.serviceMilliseconds * slowdown * contention * variation;
  }

  function answer(call: DispatchedCall, result: DispatchResult): void {
    after(oneWayMilliseconds, () => {
      if (!call.isCancelled) call.finish(result);
      dispatchedCalls.delete(call.callIdentifier);
    });
  }

  function shed(call: DispatchedCall): void {
    counts.shed += 1;
    answer(call, DispatchResult.Shed);
    const since = clock.now() - shedWindowMilliseconds;
    recentShedInstants = [...recentShedInstants, clock.now()].filter((at) =>
      at > since
    );
    if (isCold() && recentShedInstants.length >= options.fallSheds) crash();
  }

  function crash(): void {
    counts.falls += 1;
    recentShedInstants = [];
    downUntil = clock.now() + options.restartMilliseconds;
    answeredSinceCold = 0;
    running.forEach((call) => {
      call.end?.cancel();
      answer(call, DispatchResult.Broken);
    });
    running.clear();
  }

  function handleArrival(call: DispatchedCall): void {
    if (isDown()) {
      counts.refused += 1;
      return answer(call, DispatchResult.ConnectionRefused);
    }
    if (call.isCancelled) return;
    if (running.size >= getCapacity()) return shed(call);
    running.add(call);
    counts.peakRunning = Math.max(counts.peakRunning, running.size);
    call.end = after(getServiceMilliseconds(), () => {
      running.delete(call);
      if (call.isCancelled) return;
      counts.answered += 1;
      answeredSinceCold += 1;
      answer(call, DispatchResult.Answered);
    });
  }

  function stopCancelledCall(call: DispatchedCall): void {
    if (!running.has(call)) return;
    call.end?.cancel();
    call.end = after(
      options.letGoMilliseconds,
      () => void running.delete(call),
    );
  }

  return {
    prober: {
      probe() {
        const sentAt = clock.now();
        const oneWayProbeMilliseconds = options.probeMilliseconds / 2;
        return new Promise((resolve) =>
          after(oneWayProbeMilliseconds, () => {
            const actualState = isCold() ? "cold" : "ready";
            const result = isDown()
              ? Result.err(
                createDiagnostic(DiagnosticCode.BackendServerUnreachable, {}),
              )
              : Result.ok({
                reportedState: options.report?.(actualState) ?? actualState,
                running: running.size,
                sentAt,
              });
            after(oneWayProbeMilliseconds, () => resolve(result));
          })
        );
      },
      close: () => Promise.resolve(),
    },
    dispatch(callIdentifier, finish) {
      const call: DispatchedCall = {
        callIdentifier,
        finish,
        isCancelled: false,
        end: undefined,
      };
      dispatchedCalls.set(callIdentifier, call);
      after(oneWayMilliseconds, () => handleArrival(call));
    },
    cancel(callIdentifier) {
      const call = dispatchedCalls.get(callIdentifier);
      if (call === undefined) return;
      call.isCancelled = true;
      dispatchedCalls.delete(callIdentifier);
      after(oneWayMilliseconds, () => stopCancelledCall(call));
    },
    returnToColdStart() {
      answeredSinceCold = 0;
    },
    setSlots(next) {
      slots = next;
    },
    getCounts: () => ({ ...counts }),
  };
}
