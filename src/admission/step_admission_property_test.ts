import test from "ava";
import fc from "fast-check";
import { CallPriority } from "../configuration/call_priority.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { AdmissionDecisionKind } from "./admission_decision_kind.ts";
import { AdmissionEffectKind } from "./admission_effect_kind.ts";
import type { AdmissionEvent } from "./admission_event.ts";
import { AdmissionEventKind } from "./admission_event_kind.ts";
import { createAdmissionPolicy } from "./create_admission_policy.ts";
import { DispatchResult } from "./dispatch_result.ts";
import { getEffectiveLimit } from "./get_effective_limit.ts";
import { getNextTimerInstant } from "./get_next_timer_instant.ts";
import { LimitController } from "./limit_controller.ts";
import type { AdmissionDriver } from "./testing/admission_driver.ts";
import { createAdmissionDriver } from "./testing/create_admission_driver.ts";
import { createTestSettings } from "./testing/create_test_settings.ts";
import { createTestSnapshot } from "./testing/create_test_snapshot.ts";

const parameters = { seed: 20261203, numRuns: 400 };
const slots = 6;
const ranks = [CallPriority.High, CallPriority.Normal, CallPriority.Low];

/** An event and the time that passes before it. */
interface TimedEvent {
  readonly milliseconds: number;
  readonly create: (driver: AdmissionDriver, index: number) => AdmissionEvent;
}

const request = fc.record({
  priority: fc.constantFrom(...Object.values(CallPriority)),
  timeoutMilliseconds: fc.integer({ min: -10, max: 3_000 }),
}).map(({ priority, timeoutMilliseconds }) =>
(
  driver: AdmissionDriver,
  index: number,
): AdmissionEvent => ({
  kind: AdmissionEventKind.Requested,
  request: {
    callIdentifier: `call-${index}`,
    priority,
    deadline: driver.now + timeoutMilliseconds,
  },
}));
const report = fc.record({
  place: fc.nat(),
  result: fc.constantFrom(...Object.values(DispatchResult)),
}).map(({ place, result }) => (driver: AdmissionDriver): AdmissionEvent => {
  const { running } = driver.getState();
  const call = running[place % Math.max(1, running.length)];
  return {
    kind: AdmissionEventKind.Reported,
    report: {
      callIdentifier: call?.callIdentifier ?? "none",
      dispatchedAt: call?.admittedAt ?? driver.now,
      result,
    },
  };
});
const withdrawal = fc.nat().map((position) =>
(
  driver: AdmissionDriver,
): AdmissionEvent => {
  const { queue } = driver.getState();
  const call = queue[position % Math.max(1, queue.length)];
  return {
    kind: AdmissionEventKind.Withdrawn,
    callIdentifier: call?.request.callIdentifier ?? "none",
  };
});
const probe = fc.record({
  reportedState: fc.constantFrom("ready", "cold", "draining"),
  running: fc.integer({ min: 0, max: 20 }),
  age: fc.integer({ min: 0, max: 50 }),
}).map(({ age, reportedState, running }) =>
(
  driver: AdmissionDriver,
): AdmissionEvent => ({
  kind: AdmissionEventKind.ProbeSucceeded,
  probe: { reportedState, running, sentAt: driver.now - age },
}));
const snapshot = fc.record({
  zoneState: fc.constantFrom(
    ZoneState.InService,
    ZoneState.InService,
    ZoneState.TakenOut,
  ),
  leaving: fc.boolean(),
}).map((options) => (): AdmissionEvent => ({
  kind: AdmissionEventKind.SnapshotApplied,
  snapshot: createTestSnapshot({ ...options, slots }),
}));
const other = fc.constantFrom<AdmissionEvent>(
  { kind: AdmissionEventKind.ProbeFailed },
  { kind: AdmissionEventKind.InstantReached },
  { kind: AdmissionEventKind.Started },
).map((event) => () => event);
const timedEventArbitrary: fc.Arbitrary<TimedEvent> = fc.record({
  milliseconds: fc.oneof(
    fc.constant(0),
    fc.integer({ min: 0, max: 40 }),
    fc.integer({ min: 0, max: 2_000 }),
  ),
  create: fc.oneof(
    { arbitrary: request, weight: 12 },
    { arbitrary: report, weight: 10 },
    { arbitrary: withdrawal, weight: 2 },
    { arbitrary: probe, weight: 2 },
    { arbitrary: snapshot, weight: 1 },
    { arbitrary: other, weight: 1 },
  ),
});
const timedEventsArbitrary = fc.array(timedEventArbitrary, { maxLength: 150 });
const limitController = fc.constantFrom(...Object.values(LimitController));

/** Handles the events and calls `check` after each with the driver and the calls that were admitted. */
function run(
  timedEvents: readonly TimedEvent[],
  options: {
    readonly limitController: LimitController;
    readonly check: (
      driver: AdmissionDriver,
      admitted: readonly string[],
    ) => void;
  },
): AdmissionDriver {
  const driver = createAdmissionDriver({
    limitController: options.limitController,
  });
  driver.send({
    kind: AdmissionEventKind.SnapshotApplied,
    snapshot: createTestSnapshot({ slots }),
  });
  timedEvents.forEach(({ create, milliseconds }, index) => {
    driver.now += milliseconds;
    const effects = driver.send(create(driver, index));
    const admitted = effects.flatMap((effect) =>
      effect.kind === AdmissionEffectKind.Decide &&
        effect.decision.kind === AdmissionDecisionKind.Admitted
        ? [effect.callIdentifier]
        : []
    );
    effects.forEach((effect) =>
      assert(
        effect.kind !== AdmissionEffectKind.Decide ||
          effect.decision.kind !== AdmissionDecisionKind.Refused ||
          effect.decision.retryAt > driver.now,
        "The retry instant of a refusal is not in the future",
      )
    );
    options.check(driver, admitted);
  });
  return driver;
}

function testProperty(
  title: string,
  check: (driver: AdmissionDriver, admitted: readonly string[]) => void,
): void {
  test(title, (t) => {
    fc.assert(
      fc.property(
        timedEventsArbitrary,
        limitController,
        (timedEvents, controller) => {
          run(timedEvents, { limitController: controller, check });
        },
      ),
      parameters,
    );
    t.pass();
  });
}

function assert(condition: boolean, message: string): void {
  if (!condition) throw new TypeError(message);
}

testProperty(
  "a call is admitted only below the limit, and the limit is from 1 to the slots",
  (driver, admitted) => {
    const state = driver.getState();
    const { current } = state.limit;
    assert(current >= 1 && current <= slots, `The limit is ${current}`);
    if (admitted.length === 0) return;
    const isDown = state.backendServerState === BackendServerState.Down;
    const occupied = state.running.length + state.lingering.length;
    const allowed = isDown ? slots : getEffectiveLimit(state);
    assert(occupied <= allowed, `${occupied} slots of ${allowed} are occupied`);
    assert(
      !isDown || admitted.length === 1,
      "More than one trial call was admitted",
    );
  },
);

testProperty(
  "no call is admitted while the zone is taken out or the backend server is leaving or draining",
  (driver, admitted) => {
    const { backendServer, backendServerState, queue } = driver.getState();
    const isOpen = backendServer !== undefined && !backendServer.leaving &&
      backendServer.zoneState === ZoneState.InService &&
      backendServerState !== BackendServerState.Draining;
    assert(isOpen || admitted.length === 0, "A call was admitted");
    assert(isOpen || queue.length === 0, "A call is queued");
  },
);

testProperty(
  "the queue is bounded and ordered and contains no call that cannot meet its deadline",
  (driver) => {
    const { queue, serviceTime } = driver.getState();
    const keys = queue.map((call) =>
      ranks.indexOf(call.request.priority) * 1e9 + call.request.deadline
    );
    assert(
      keys.every((key, position) =>
        position === 0 || key >= (keys[position - 1] ?? 0)
      ),
      "The queue is out of order",
    );
    assert(
      queue.length <= createTestSettings().limits.queuedCalls,
      "The queue is too long",
    );
    assert(
      queue.every((call) =>
        call.request.deadline > driver.now &&
        call.request.deadline - serviceTime.recentMilliseconds >= driver.now
      ),
      "A queued call cannot meet its deadline",
    );
  },
);

testProperty(
  "the next timer instant is in the future, so that no timer fires repeatedly at one instant",
  (driver) => {
    const policy = createAdmissionPolicy(createTestSettings());
    const next = getNextTimerInstant(driver.getState(), { policy });
    assert(next > driver.now, `The next instant is ${next - driver.now}`);
    if (next === Number.POSITIVE_INFINITY) return;
    driver.now = next;
    driver.send({ kind: AdmissionEventKind.InstantReached });
    const later = getNextTimerInstant(driver.getState(), { policy });
    assert(later > next, `The instant after is ${later - next}`);
  },
);

test("every request is decided exactly once, and every refusal has a retry instant in the future", (t) => {
  fc.assert(
    fc.property(
      timedEventsArbitrary,
      limitController,
      (timedEvents, controller) => {
        const requested = new Set<string>();
        const withdrawn = new Set<string>();
        const observed = timedEvents.map((
          { create, milliseconds },
        ): TimedEvent => ({
          milliseconds,
          create: (driver, index) => {
            const event = create(driver, index);
            if (event.kind === AdmissionEventKind.Requested) {
              requested.add(event.request.callIdentifier);
            }
            if (event.kind === AdmissionEventKind.Withdrawn) {
              withdrawn.add(event.callIdentifier);
            }
            return event;
          },
        }));
        const driver = run(observed, {
          limitController: controller,
          check: () => {},
        });
        driver.send({ kind: AdmissionEventKind.DrainRequested });
        assert(driver.getState().queue.length === 0, "A call is queued");
        requested.forEach((callIdentifier) => {
          const count = driver.decisions.get(callIdentifier)?.length ?? 0;
          const expected = withdrawn.has(callIdentifier) ? 0 : 1;
          assert(
            count === expected,
            `${callIdentifier} has ${count} decisions`,
          );
        });
      },
    ),
    parameters,
  );
  t.pass();
});
