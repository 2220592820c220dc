import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallPriority } from "../configuration/call_priority.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { AdmissionDecisionKind } from "./admission_decision_kind.ts";
import { AdmissionEffectKind } from "./admission_effect_kind.ts";
import { AdmissionEventKind } from "./admission_event_kind.ts";
import type { AdmissionPolicy } from "./admission_policy.ts";
import { DispatchResult } from "./dispatch_result.ts";
import { createAdmissionDriver } from "./testing/create_admission_driver.ts";
import { createTestSnapshot } from "./testing/create_test_snapshot.ts";

const serviceMilliseconds = 20;
const slots = 6;

function createFixture(policy: Partial<AdmissionPolicy> = {}) {
  const driver = createAdmissionDriver(policy);
  const request = (
    callIdentifier: string,
    options: {
      readonly priority?: CallPriority;
      readonly timeoutMilliseconds?: number;
    } = {},
  ) =>
    driver.send({
      kind: AdmissionEventKind.Requested,
      request: {
        callIdentifier,
        priority: options.priority ?? CallPriority.Normal,
        deadline: driver.now + (options.timeoutMilliseconds ?? 1_000),
      },
    });
  const report = (
    callIdentifier: string,
    result: DispatchResult = DispatchResult.Answered,
  ) => {
    const call = driver.getState().running.find((running) =>
      running.callIdentifier === callIdentifier
    );
    driver.send({
      kind: AdmissionEventKind.Reported,
      report: {
        callIdentifier,
        result,
        dispatchedAt: call?.admittedAt ?? driver.now,
      },
    });
  };
  const probe = (
    reportedState: BackendServerProbe["reportedState"],
    running = 0,
  ) =>
    driver.send({
      kind: AdmissionEventKind.ProbeSucceeded,
      probe: { reportedState, running, sentAt: driver.now },
    });
  /** Sends a probe and lets it fail. */
  const failProbe = () => {
    driver.send({ kind: AdmissionEventKind.Started });
    driver.now += 5;
    driver.send({ kind: AdmissionEventKind.ProbeFailed });
  };
  const applySnapshot = (
    options: Parameters<typeof createTestSnapshot>[0] = {},
  ) =>
    driver.send({
      kind: AdmissionEventKind.SnapshotApplied,
      snapshot: createTestSnapshot({ slots, ...options }),
    });
  const isAdmitted = (callIdentifier: string) =>
    driver.decisions.get(callIdentifier)?.[0]?.kind ===
      AdmissionDecisionKind.Admitted;
  const getReason = (callIdentifier: string) => {
    const decision = driver.decisions.get(callIdentifier)?.[0];
    return decision?.kind === AdmissionDecisionKind.Refused
      ? decision.reason
      : undefined;
  };
  /**
   * Fills every free slot and reports the calls after one service time: those
   * above `capacity` concurrent calls as shed, the others as answered.
   */
  const runRound = (name: string, capacity = slots) => {
    const names = Array.from(
      { length: slots },
      (_, index) => `${name}-${index}`,
    );
    names.forEach((callIdentifier) => request(callIdentifier));
    driver.now += serviceMilliseconds;
    const { running } = driver.getState();
    names.forEach((callIdentifier) =>
      driver.send({ kind: AdmissionEventKind.Withdrawn, callIdentifier })
    );
    running.forEach((call) =>
      report(
        call.callIdentifier,
        call.occupiedSlots > capacity
          ? DispatchResult.Shed
          : DispatchResult.Answered,
      )
    );
  };
  /** Runs rounds until the cold start has ended. */
  const warmUp = () => {
    probe("ready");
    Array.from({ length: 200 }, (_, round) => runRound(`warm-up-${round}`));
  };
  const getLimit = () => Math.floor(driver.getState().limit.current);
  applySnapshot();
  return {
    driver,
    request,
    report,
    probe,
    failProbe,
    applySnapshot,
    isAdmitted,
    getReason,
    runRound,
    warmUp,
    getLimit,
  };
}

/** Runs rounds and returns each change of the limit or the state, with the time since the start. */
function recordLimitChanges(
  fixture: ReturnType<typeof createFixture>,
  options: { readonly rounds: number; readonly capacity: number },
): readonly string[] {
  const { driver, getLimit, runRound } = fixture;
  const startedAt = driver.now;
  const describe = () =>
    `${getLimit()} ${driver.getState().backendServerState}`;
  return Array.from({ length: options.rounds }, (_, round) => {
    const before = describe();
    runRound(`round-${round}`, options.capacity);
    const after = describe();
    return after === before ? "" : `${driver.now - startedAt} ms: ${after}`;
  }).filter((step) => step !== "");
}

test("the cold-start ramp rises on answers, one slot at a time", (t) => {
  const fixture = createFixture();
  fixture.probe("ready");
  t.deepEqual(recordLimitChanges(fixture, { rounds: 100, capacity: slots }), [
    "260 ms: 3 cold",
    "520 ms: 4 cold",
    "780 ms: 5 cold",
    "1040 ms: 6 cold",
    "1300 ms: 6 ready",
  ]);
});

test("the ramp falls on a shed call and reaches the same limit again only after a delay", (t) => {
  const fixture = createFixture();
  fixture.probe("ready");
  t.deepEqual(recordLimitChanges(fixture, { rounds: 120, capacity: 3 }), [
    "260 ms: 3 cold",
    "520 ms: 4 cold",
    "540 ms: 2 cold",
    "800 ms: 3 cold",
    "1800 ms: 4 cold",
    "1820 ms: 2 cold",
    "2080 ms: 3 cold",
  ]);
});

test("a step of the ramp takes ten answers, regardless of their duration", (t) => {
  const { driver, getLimit, probe, report, request } = createFixture();
  probe("ready");
  const limits = Array.from({ length: 11 }, (_, index) => {
    request(`call-${index}`);
    driver.now += 900;
    report(`call-${index}`);
    return getLimit();
  });
  t.deepEqual(limits, [2, 2, 2, 2, 2, 2, 2, 2, 2, 3, 3]);
});

test("a probe that reports ready does not end the ramp", (t) => {
  const fixture = createFixture();
  Array.from({ length: 50 }, () => {
    fixture.driver.now += 1_000;
    fixture.probe("ready");
  });
  t.is(fixture.getLimit(), 2);
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Cold);
});

test("a backend server that always reports cold slows the ramp down but does not stop it", (t) => {
  const fixture = createFixture();
  Array.from({ length: 600 }, (_, round) => {
    fixture.probe("cold");
    fixture.runRound(`round-${round}`);
  });
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Ready);
});

test("a ready backend server that reports cold starts a ramp", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  t.is(fixture.getLimit(), slots);
  fixture.probe("cold");
  t.is(fixture.getLimit(), 2);
});

test("a call shed at half of the slots or fewer causes a cold start", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  fixture.request("one");
  fixture.report("one", DispatchResult.Shed);
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Cold);
  t.is(fixture.getLimit(), 2);
});

test("calls that take far longer than the baseline cause a cold start", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  Array.from({ length: 30 }, (_, index) => {
    fixture.request(`slow-${index}`);
    fixture.driver.now += 10 * serviceMilliseconds;
    fixture.report(`slow-${index}`);
  });
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Cold);
});

test("a single slow call has little effect on the service time and none on the state", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  fixture.request("one", { timeoutMilliseconds: 60_000 });
  fixture.driver.now += 30_000;
  fixture.report("one");
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Ready);
  t.true(fixture.driver.getState().serviceTime.recentMilliseconds < 40);
});

test("a raise followed by a shed call is reverted, and the next raise is delayed longer", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  t.deepEqual(recordLimitChanges(fixture, { rounds: 120, capacity: 4 }), [
    "20 ms: 4 ready",
    "100 ms: 5 ready",
    "120 ms: 4 ready",
    "440 ms: 5 ready",
    "460 ms: 4 ready",
    "1020 ms: 5 ready",
    "1040 ms: 4 ready",
    "2080 ms: 5 ready",
    "2100 ms: 4 ready",
  ]);
});

test("an arriving high-priority call displaces the queued call that ranks last", (t) => {
  const { driver, getReason, isAdmitted, report, request } = createFixture();
  ["one", "two"].forEach((name) => request(name));
  request("low-early", { priority: CallPriority.Low });
  request("low-late", {
    priority: CallPriority.Low,
    timeoutMilliseconds: 2_000,
  });
  request("normal-one");
  request("normal-two");
  request("high", { priority: CallPriority.High, timeoutMilliseconds: 3_000 });
  t.is(getReason("low-late"), RefusalReason.ColdStart);
  t.deepEqual(
    driver.getState().queue.map((call) => call.request.callIdentifier),
    ["high", "normal-one", "normal-two", "low-early"],
  );
  request("low-again", { priority: CallPriority.Low });
  t.is(getReason("low-again"), RefusalReason.ColdStart);
  report("one");
  t.true(isAdmitted("high"));
});

test("a call that cannot meet its deadline is refused immediately, not queued", (t) => {
  const { driver, getReason, request, runRound } = createFixture();
  runRound("first");
  ["one", "two"].forEach((name) => request(name));
  request("short", { timeoutMilliseconds: 15 });
  t.is(getReason("short"), RefusalReason.ColdStart);
  request("long", { timeoutMilliseconds: 100 });
  t.is(getReason("long"), undefined);
  driver.now += 81;
  driver.send({ kind: AdmissionEventKind.InstantReached });
  t.is(getReason("long"), RefusalReason.ColdStart);
});

test("a free slot admits a call regardless of the service time", (t) => {
  const { driver, isAdmitted, report, request } = createFixture();
  request("slow", { timeoutMilliseconds: 60_000 });
  driver.now += 50_000;
  report("slow");
  request("short", { timeoutMilliseconds: 100 });
  t.true(isAdmitted("short"));
});

test("a call whose deadline has passed is refused", (t) => {
  const { getReason, request } = createFixture();
  request("past", { timeoutMilliseconds: 0 });
  t.is(getReason("past"), RefusalReason.DeadlinePassed);
});

test("the slot of a cancelled call is freed only when two later probes show that it ended", (t) => {
  const { driver, isAdmitted, probe, report, request } = createFixture();
  ["one", "two", "three"].forEach((name) => request(name));
  driver.now += 10;
  report("one", DispatchResult.Cancelled);
  t.false(isAdmitted("three"));
  probe("cold", 1);
  t.false(isAdmitted("three"), "The probe was not sent after the cancellation");
  driver.now += 10;
  probe("cold", 2);
  t.false(isAdmitted("three"), "The backend server still counts two calls");
  driver.now += 10;
  probe("cold", 0);
  t.false(
    isAdmitted("three"),
    "The count lags: the second call is still running",
  );
  driver.now += 10;
  probe("cold", 1);
  t.false(
    isAdmitted("three"),
    "The count may miss a call whose answer is in transit",
  );
  driver.now += 10;
  probe("cold", 2);
  driver.now += 10;
  probe("cold", 1);
  t.false(isAdmitted("three"), "The previous probe counted two calls");
  driver.now += 10;
  probe("cold", 1);
  t.true(isAdmitted("three"));
});

test("the slot of a broken call is freed at its timeout if no probe shows that it ended", (t) => {
  const { driver, isAdmitted, report, request } = createFixture();
  ["one", "two"].forEach((name) => request(name));
  request("three", { timeoutMilliseconds: 60_000 });
  report("one", DispatchResult.Broken);
  driver.now += 4_999;
  driver.send({ kind: AdmissionEventKind.InstantReached });
  t.false(isAdmitted("three"));
  driver.now += 1;
  driver.send({ kind: AdmissionEventKind.InstantReached });
  t.true(isAdmitted("three"));
});

["counts more calls than can be running", "does not respond"].forEach((fault) =>
  test(`a load endpoint that ${fault} keeps no slot occupied for long`, (t) => {
    const { driver, failProbe, isAdmitted, probe, report, request, warmUp } =
      createFixture();
    warmUp();
    const names = Array.from({ length: slots }, (_, index) => `call-${index}`);
    names.forEach((name) => request(name));
    names.forEach((name) => report(name, DispatchResult.Cancelled));
    request("waiting");
    Array.from({ length: 2 }, () => {
      driver.now += 2.5 * serviceMilliseconds;
      if (fault === "does not respond") return failProbe();
      probe("ready", slots + 1);
    });
    driver.send({ kind: AdmissionEventKind.InstantReached });
    t.true(isAdmitted("waiting"));
  })
);

test("a probe before the first snapshot is repeated after it", (t) => {
  const driver = createAdmissionDriver();
  driver.send({ kind: AdmissionEventKind.Started });
  driver.send({
    kind: AdmissionEventKind.ProbeSucceeded,
    probe: { reportedState: "ready", running: 2, sentAt: driver.now },
  });
  t.is(
    driver.getState().backendServerState,
    BackendServerState.Unknown,
  );
  driver.now += 1;
  const effects = driver.send({
    kind: AdmissionEventKind.SnapshotApplied,
    snapshot: createTestSnapshot({ slots }),
  });
  t.true(effects.some((effect) => effect.kind === AdmissionEffectKind.Probe));
});

test("calls left by an earlier incarnation of the node occupy slots", (t) => {
  const { isAdmitted, probe, request } = createFixture();
  probe("ready", 2);
  request("one");
  t.false(isAdmitted("one"));
});

test("the delay between refused trial calls increases", (t) => {
  const { driver, isAdmitted, report, request } = createFixture();
  request("first");
  report("first", DispatchResult.ConnectionRefused);
  const startedAt = driver.now;
  const trials: number[] = [];
  Array.from({ length: 600 }, (_, index) => {
    driver.now += 50;
    request(`call-${index}`);
    if (!isAdmitted(`call-${index}`)) return;
    trials.push(driver.now - startedAt);
    report(`call-${index}`, DispatchResult.ConnectionRefused);
  });
  const gaps = trials.map((trial, index) => trial - (trials[index - 1] ?? 0));
  t.true(gaps.every((gap, index) => gap >= 50 * 2 ** Math.min(index, 5)));
  t.true(gaps.every((gap, index) => gap <= 50 + 100 * 2 ** Math.min(index, 6)));
  t.true(trials.length >= 9, `${trials.length} trials in 30 s`);
});

test("after a refused connection the queue is refused and one trial call is admitted", (t) => {
  const { driver, getReason, isAdmitted, report, request } = createFixture();
  ["one", "two", "three"].forEach((name) => request(name));
  report("one", DispatchResult.ConnectionRefused);
  t.is(driver.getState().backendServerState, BackendServerState.Down);
  t.is(getReason("three"), RefusalReason.BackendServerDown);
  request("early");
  t.is(getReason("early"), RefusalReason.BackendServerDown);
  driver.now += 200;
  ["trial", "other"].forEach((name) => request(name));
  t.true(isAdmitted("trial"));
  t.is(getReason("other"), RefusalReason.BackendServerDown);
  driver.now += 10;
  report("trial");
  t.is(driver.getState().backendServerState, BackendServerState.Cold);
});

test("calls are admitted while probes fail and calls succeed", (t) => {
  const { driver, failProbe, isAdmitted, report, request } = createFixture();
  Array.from({ length: 20 }, (_, index) => {
    request(`call-${index}`);
    driver.now += 10;
    report(`call-${index}`);
    failProbe();
    driver.now += 1_000;
  });
  t.true(isAdmitted("call-19"));
  t.not(driver.getState().backendServerState, BackendServerState.Down);
});

test("failed probes without successful calls mark the backend server as down, and a trial call is admitted", (t) => {
  const { driver, failProbe, isAdmitted, probe, request } = createFixture();
  probe("ready");
  Array.from({ length: 30 }, () => {
    driver.now += 1_000;
    failProbe();
  });
  t.is(driver.getState().backendServerState, BackendServerState.Down);
  driver.now += 5_000;
  failProbe();
  request("trial");
  t.true(isAdmitted("trial"));
});

test("a draining backend server refuses calls and enters cold start when it is ready again", (t) => {
  const { driver, getReason, probe, request, warmUp } = createFixture();
  warmUp();
  probe("draining");
  request("one");
  t.is(getReason("one"), RefusalReason.BackendServerDraining);
  probe("ready");
  t.is(driver.getState().backendServerState, BackendServerState.Cold);
});

[
  { name: "a zone taken out", closed: { zoneState: ZoneState.TakenOut } },
  { name: "a leaving backend server", closed: { leaving: true } },
].forEach(({ closed, name }) =>
  test(`${name} enters cold start when it returns`, (t) => {
    const { applySnapshot, driver, getLimit, isAdmitted, request, warmUp } =
      createFixture();
    warmUp();
    applySnapshot(closed);
    request("out");
    t.false(isAdmitted("out"));
    applySnapshot();
    t.is(driver.getState().backendServerState, BackendServerState.Cold);
    t.is(getLimit(), 2);
  })
);

test("each change of the state and of the zone is recorded once in the audit trail", (t) => {
  const { applySnapshot, driver, probe } = createFixture();
  probe("ready");
  probe("ready");
  applySnapshot({ zoneState: ZoneState.TakenOut });
  applySnapshot({ zoneState: ZoneState.TakenOut });
  applySnapshot();
  const entries = driver.effects.flatMap((effect) =>
    effect.kind === AdmissionEffectKind.RecordAuditEntry
      ? [{
        kind: effect.entry.kind,
        subject: effect.entry.subject,
        change: `${effect.entry.fromState} to ${effect.entry.toState}`,
      }]
      : []
  );
  t.deepEqual(entries, [
    {
      kind: AuditEntryKind.BackendServerStateChanged,
      subject: "encomendas-1",
      change: "unknown to cold",
    },
    {
      kind: AuditEntryKind.ZoneTakenOut,
      subject: "sul-a",
      change: "undefined to undefined",
    },
    {
      kind: AuditEntryKind.ZoneReturned,
      subject: "sul-a",
      change: "undefined to undefined",
    },
  ]);
});

test("the retry instants of refused calls are spread at the service rate", (t) => {
  const { driver, request, runRound } = createFixture();
  runRound("first");
  Array.from({ length: 106 }, (_, index) => request(`call-${index}`));
  const instants = [...driver.decisions.values()].flat().flatMap((decision) =>
    decision.kind === AdmissionDecisionKind.Refused &&
      decision.reason === RefusalReason.ColdStart
      ? [decision.retryAt - driver.now]
      : []
  );
  t.is(instants.length, 100);
  const earlyCount = instants.filter((instant) => instant < 300).length;
  // Two slots with a service time of 20 ms serve 100 calls a second.
  t.true(earlyCount <= 40, `${earlyCount} retries within 300 ms`);
  t.true(Math.max(...instants) < 1_500);
});

test("the limit is bounded by connections as well as by slots", (t) => {
  const { applySnapshot, getLimit, warmUp } = createFixture();
  applySnapshot({ connections: 5 });
  warmUp();
  t.is(getLimit(), 3);
});

test("a call with the identifier of a running call is refused", (t) => {
  const { driver, request } = createFixture();
  request("one");
  request("one");
  t.deepEqual(
    driver.decisions.get("one")?.map((decision) => decision.kind),
    [AdmissionDecisionKind.Admitted, AdmissionDecisionKind.Refused],
  );
});

test("a call dispatched too late for its deadline does not lower the limit", (t) => {
  const { driver, getLimit, report, request, warmUp } = createFixture();
  warmUp();
  ["one", "two"].forEach((name) =>
    request(name, { timeoutMilliseconds: serviceMilliseconds })
  );
  driver.now += serviceMilliseconds;
  report("one", DispatchResult.Broken);
  t.is(getLimit(), slots);
  request("three", { timeoutMilliseconds: 10 * serviceMilliseconds });
  driver.now += 10 * serviceMilliseconds;
  report("three", DispatchResult.Broken);
  t.true(getLimit() < slots);
});

test("the retry instants of calls refused in a taken-out zone are spread", (t) => {
  const { applySnapshot, driver, request } = createFixture();
  applySnapshot({ zoneState: ZoneState.TakenOut });
  Array.from({ length: 100 }, (_, index) => request(`call-${index}`));
  const instants = [...driver.decisions.values()].flat().map((decision) =>
    decision.kind === AdmissionDecisionKind.Refused ? decision.retryAt : 0
  );
  t.true(new Set(instants).size > 50);
  t.true(instants.every((instant) => instant > driver.now + 500));
});

test("a refused connection among answered calls lowers the limit", (t) => {
  const { driver, getLimit, report, request, warmUp } = createFixture();
  warmUp();
  request("one");
  driver.now += 1;
  request("two");
  report("two");
  report("one", DispatchResult.ConnectionRefused);
  t.is(driver.getState().backendServerState, BackendServerState.Ready);
  t.true(getLimit() < slots);
});
