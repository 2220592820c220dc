import test from "ava";
import { createTestEnvironment } from "../admission/testing/create_test_environment.ts";
import { createTestSettings } from "../admission/testing/create_test_settings.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createPauseWatch } from "./create_pause_watch.ts";
import type { ProcessPause } from "./process_pause.ts";

/**
 * Creates a pause watch whose clock can be advanced without running timers, as
 * if the process were stopped.
 */
function createFixture() {
  const environment = createTestEnvironment(1);
  const pauses: ProcessPause[] = [];
  let skippedMilliseconds = 0;
  const watch = createPauseWatch({
    settings: createTestSettings(),
    environment: {
      ...environment,
      clock: { now: () => environment.clock.now() + skippedMilliseconds },
      timers: {
        at: (instant, callback) =>
          environment.timers.at(instant - skippedMilliseconds, callback),
      },
    },
    onPause: (pause) => pauses.push(pause),
  });
  const advanceClock = (milliseconds: number) => {
    skippedMilliseconds += milliseconds;
  };
  return { environment, pauses, advanceClock, watch };
}

test("no pause is reported while the ticks are on time", async (t) => {
  const { environment, pauses, watch } = createFixture();
  watch.start();
  await environment.advanceTo(environment.clock.now() + 60_000);
  t.deepEqual(pauses, []);
});

test("a pause is reported once, at the next tick", async (t) => {
  const { environment, pauses, advanceClock, watch } = createFixture();
  const startedAt = environment.clock.now();
  watch.start();
  advanceClock(5_000);
  await environment.advanceTo(startedAt + 10_000);
  t.deepEqual(pauses, [{
    lastTickAt: startedAt,
    resumedAt: startedAt + 5_250,
  }]);
  t.is(environment.auditEntries[0]?.kind, AuditEntryKind.ProcessPaused);
});

test("check() reports a pause before the next tick, and only once", async (t) => {
  const { environment, pauses, advanceClock, watch } = createFixture();
  const startedAt = environment.clock.now();
  watch.start();
  advanceClock(5_000);
  watch.check();
  t.deepEqual(pauses, [{
    lastTickAt: startedAt,
    resumedAt: startedAt + 5_000,
  }]);
  await environment.advanceTo(startedAt + 10_000);
  t.is(pauses.length, 1);
});

test("neither a delay below the threshold nor a clock set back is reported as a pause", (t) => {
  const { pauses, advanceClock, watch } = createFixture();
  watch.start();
  advanceClock(1_200);
  watch.check();
  advanceClock(-10_000);
  watch.check();
  t.deepEqual(pauses, []);
});

test("stop() cancels the timer", (t) => {
  const { environment, watch } = createFixture();
  watch.start();
  watch.stop();
  t.is(environment.countTimers(), 0);
});
