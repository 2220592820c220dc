import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import type { CallerClass } from "./caller_class.ts";
import { createClassResults } from "./create_class_results.ts";
import { createRunParts } from "./create_run_parts.ts";
import { registered } from "./registered.ts";
import { runCall } from "./run_call.ts";
import type { RunOptions } from "./run_options.ts";
import type { RunParts } from "./run_parts.ts";
import type { RunResult } from "./run_result.ts";
import { watchLimit } from "./watch_limit.ts";

/** Runs callers against one admission and one fake backend server, in virtual time. */
export async function runAdmission(options: RunOptions): Promise<RunResult> {
  const created = createRunParts(options);
  const { environment, runtime, server } = created;
  const startedAt = environment.clock.now();
  const endsAt = startedAt + options.runMilliseconds;
  const lastEventAt = startedAt +
    Math.max(0, ...options.events.map((event) => event.atMilliseconds));
  const { count, getResults } = createClassResults(
    startedAt + (options.countFromMilliseconds ?? 0),
  );
  runtime.applySnapshot(createTestSnapshot(registered));
  runtime.start();
  options.events.forEach((event) =>
    environment.timers.at(
      startedAt + event.atMilliseconds,
      () => event.run({ runtime, server }),
    )
  );
  // After the events, so that a burst at the instant of an event meets its result.
  setArrivals({ ...created, count }, options);
  const getFullLimitAt = watchLimit(created, { from: lastEventAt, endsAt });
  await environment.advanceTo(endsAt);
  runtime.stop();
  return {
    classes: getResults(),
    server: server.getCounts(),
    fullLimitAfterMilliseconds: getFullLimitAt() - lastEventAt,
  };
}

/** Lets the callers of each class arrive at random, and those of the burst together. */
function setArrivals(parts: RunParts, options: RunOptions): void {
  const { burst, classes, runMilliseconds } = options;
  const { clock, timers } = parts.environment;
  const startedAt = clock.now();
  let nextCall = 0;
  const call = (caller: CallerClass) =>
    runCall(caller, parts, { callIdentifier: `call-${nextCall++}` });

  function setArrival(caller: CallerClass): void {
    const gap = -Math.log(1 - parts.random.next()) * 1_000 /
      caller.callsPerSecond;
    const instant = clock.now() + gap;
    if (instant >= startedAt + runMilliseconds) return;
    timers.at(instant, () => {
      call(caller);
      setArrival(caller);
    });
  }

  classes.forEach(setArrival);
  if (burst === undefined) return;
  const callers = Array.from(
    { length: burst.calls },
    (_, place) => classes[place % classes.length],
  ).filter((caller) => caller !== undefined);
  timers.at(
    startedAt + burst.atMilliseconds,
    () => callers.forEach(call),
  );
}
