import test from "ava";
import { createTestEnvironment } from "../admission/testing/create_test_environment.ts";
import { createTestSettings } from "../admission/testing/create_test_settings.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createPauseWatch } from "./create_pause_watch.ts";
import type { ProcessPause } from "./process_pause.ts";

/** A clock that can be moved while no timer runs, as for a process that is stopped. */
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

test("a process that runs on time was not paused", async (t) => {
  const { environment, pauses, watch } = createFixture();
  watch.start();
  await environment.advanceTo(environment.clock.now() + 60_000);
  t.deepEqual(pauses, []);
});

test("a pause is reported once, by the next tick", async (t) => {
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

test("check() reports a pause before the next tick, and once", async (t) => {
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

test("a delay below the threshold and a clock set back are no pause", (t) => {
  const { pauses, advanceClock, watch } = createFixture();
  watch.start();
  advanceClock(1_200);
  watch.check();
  advanceClock(-10_000);
  watch.check();
  t.deepEqual(pauses, []);
});

test("stop() ends the ticks", (t) => {
  const { environment, watch } = createFixture();
  watch.start();
  watch.stop();
  t.is(environment.countTimers(), 0);
});
