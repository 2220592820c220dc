import { Result } from "true-myth";
import { createDiagnostic } from "../../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../../diagnostics/diagnostic_code.ts";
import type { TimerHandle } from "../../runtime/timer_handle.ts";
import { DispatchResult } from "../dispatch_result.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import type { FakeBackendServerOptions } from "./fake_backend_server_options.ts";

interface Call {
  readonly callIdentifier: string;
  readonly finish: (result: DispatchResult) => void;
  isCancelled: boolean;
  end: TimerHandle | undefined;
}

const shedWindowMilliseconds = 1_000;

/** Creates a backend server that starts cold. */
export function createFakeBackendServer(
  options: FakeBackendServerOptions,
): FakeBackendServer {
  const { clock, oneWayMilliseconds, random, timers } = options;
  const counts = { answered: 0, shed: 0, refused: 0, falls: 0, peakRunning: 0 };
  const handedOver = new Map<string, Call>();
  const running = new Set<Call>();
  let slots = options.slots;
  let answeredSinceCold = 0;
  let downUntil = 0;
  let shedInstants: readonly number[] = [];

  const after = (milliseconds: number, callback: () => void) =>
    timers.at(clock.now() + milliseconds, callback);
  const isDown = () => clock.now() < downUntil;
  const getBearable = () =>
    Math.min(
      slots,
      options.coldSlots + Math.floor(answeredSinceCold / options.warmingCalls),
    );
  const isCold = () => getBearable() < slots;

  function getServiceMilliseconds(): number {
    const warmth = Math.min(
      1,
      answeredSinceCold / (options.warmingCalls * options.slots),
    );
    const slowdown = options.coldSlowdown +
      (1 - options.coldSlowdown) * warmth;
    const crowding = Math.max(1, running.size / options.kneeSlots) **
      options.crowdingPower;
    const spread = 0.5 - 0.5 * Math.log(1 - random.next());
    return options.serviceMilliseconds * slowdown * crowding * spread;
  }

  function answer(call: Call, result: DispatchResult): void {
    after(oneWayMilliseconds, () => {
      if (!call.isCancelled) call.finish(result);
      handedOver.delete(call.callIdentifier);
    });
  }

  function shed(call: Call): void {
    counts.shed += 1;
    answer(call, DispatchResult.Shed);
    const since = clock.now() - shedWindowMilliseconds;
    shedInstants = [...shedInstants, clock.now()].filter((at) => at > since);
    if (isCold() && shedInstants.length >= options.fallSheds) fallOver();
  }

  function fallOver(): void {
    counts.falls += 1;
    shedInstants = [];
    downUntil = clock.now() + options.restartMilliseconds;
    answeredSinceCold = 0;
    running.forEach((call) => {
      call.end?.cancel();
      answer(call, DispatchResult.Broken);
    });
    running.clear();
  }

  function arrive(call: Call): void {
    if (isDown()) {
      counts.refused += 1;
      return answer(call, DispatchResult.ConnectionRefused);
    }
    if (call.isCancelled) return;
    if (running.size >= getBearable()) return shed(call);
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

  function letGo(call: Call): void {
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
        const half = options.probeMilliseconds / 2;
        return new Promise((resolve) =>
          after(half, () => {
            const truth = isCold() ? "cold" : "ready";
            const result = isDown()
              ? Result.err(
                createDiagnostic(DiagnosticCode.BackendServerUnreachable, {}),
              )
              : Result.ok({
                reportedState: options.report?.(truth) ?? truth,
                running: running.size,
                sentAt,
              });
            after(half, () => resolve(result));
          })
        );
      },
      close: () => Promise.resolve(),
    },
    dispatch(callIdentifier, finish) {
      const call: Call = {
        callIdentifier,
        finish,
        isCancelled: false,
        end: undefined,
      };
      handedOver.set(callIdentifier, call);
      after(oneWayMilliseconds, () => arrive(call));
    },
    cancel(callIdentifier) {
      const call = handedOver.get(callIdentifier);
      if (call === undefined) return;
      call.isCancelled = true;
      handedOver.delete(callIdentifier);
      after(oneWayMilliseconds, () => letGo(call));
    },
    relapse() {
      answeredSinceCold = 0;
    },
    setSlots(next) {
      slots = next;
    },
    getCounts: () => ({ ...counts }),
  };
}
