import { createTestSnapshot } from "../../src/admission/testing/create_test_snapshot.ts";
import type { CallerClass } from "./caller_class.ts";
import { createClassResults } from "./create_class_results.ts";
import { createRunContext } from "./create_run_context.ts";
import { registeredCapacity } from "./registered_capacity.ts";
import { runCall } from "./run_call.ts";
import type { RunOptions } from "./run_options.ts";
import type { RunContext } from "./run_context.ts";
import type { RunResult } from "./run_result.ts";
import { watchLimit } from "./watch_limit.ts";

/** Simulates callers against one admission runtime and one fake backend server in virtual time. */
export async function runAdmission(options: RunOptions): Promise<RunResult> {
  const partialContext = createRunContext(options);
  const { environment, runtime, server } = partialContext;
  const startedAt = environment.clock.now();
  const endsAt = startedAt + options.runMilliseconds;
  const lastEventAt = startedAt +
    Math.max(0, ...options.events.map((event) => event.atMilliseconds));
  const { count, getResults } = createClassResults(
    startedAt + (options.countFromMilliseconds ?? 0),
  );
  runtime.applySnapshot(createTestSnapshot(registeredCapacity));
  runtime.start();
  options.events.forEach((event) =>
    environment.timers.at(
      startedAt + event.atMilliseconds,
      () => event.run({ runtime, server }),
    )
  );
  // Arrivals are scheduled after the events, so that a burst at the instant of
  // an event sees the result of the event.
  scheduleArrivals({ ...partialContext, count }, options);
  const getFullLimitAt = watchLimit(partialContext, {
    from: lastEventAt,
    endsAt,
  });
  await environment.advanceTo(endsAt);
  runtime.stop();
  return {
    classes: getResults(),
    server: server.getCounts(),
    fullLimitAfterMilliseconds: getFullLimitAt() - lastEventAt,
  };
}

/** Schedules the calls of each class at random instants and the calls of the burst at one instant. */
function scheduleArrivals(context: RunContext, options: RunOptions): void {
  const { burst, classes, runMilliseconds } = options;
  const { clock, timers } = context.environment;
  const startedAt = clock.now();
  let nextCall = 0;
  const startCall = (caller: CallerClass) =>
    runCall(caller, context, { callIdentifier: `call-${nextCall++}` });

  function scheduleArrival(caller: CallerClass): void {
    const intervalMilliseconds = -Math.log(1 - context.random.next()) * 1_000 /
      caller.callsPerSecond;
    const arrivesAt = clock.now() + intervalMilliseconds;
    if (arrivesAt >= startedAt + runMilliseconds) return;
    timers.at(arrivesAt, () => {
      startCall(caller);
      scheduleArrival(caller);
    });
  }

  classes.forEach(scheduleArrival);
  if (burst === undefined) return;
  const callers = Array.from(
    { length: burst.calls },
    (_, index) => classes[index % classes.length],
  ).filter((caller) => caller !== undefined);
  timers.at(
    startedAt + burst.atMilliseconds,
    () => callers.forEach(startCall),
  );
}
