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
      readonly spanMilliseconds?: number;
    } = {},
  ) =>
    driver.send({
      kind: AdmissionEventKind.Requested,
      request: {
        callIdentifier,
        priority: options.priority ?? CallPriority.Normal,
        deadline: driver.now + (options.spanMilliseconds ?? 1_000),
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
      kind: AdmissionEventKind.ProbeAnswered,
      probe: { reportedState, running, sentAt: driver.now },
    });
  /** Lets the probe that is due be sent, and fail. */
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
  /** Fills every free slot, lets the calls run and reports them; sheds those above `bears` at once. */
  const runRound = (name: string, bears = slots) => {
    const names = Array.from(
      { length: slots },
      (_, place) => `${name}-${place}`,
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
        call.occupiedSlots > bears
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

/** Runs rounds and returns each change of the limit or the state, with the time since the first round. */
function recordSteps(
  fixture: ReturnType<typeof createFixture>,
  options: { readonly rounds: number; readonly bears: number },
): readonly string[] {
  const { driver, getLimit, runRound } = fixture;
  const startedAt = driver.now;
  const describe = () =>
    `${getLimit()} ${driver.getState().backendServerState}`;
  return Array.from({ length: options.rounds }, (_, round) => {
    const before = describe();
    runRound(`round-${round}`, options.bears);
    const after = describe();
    return after === before ? "" : `${driver.now - startedAt} ms: ${after}`;
  }).filter((step) => step !== "");
}

test("the cold-start ramp rises on answers, one slot at a time", (t) => {
  const fixture = createFixture();
  fixture.probe("ready");
  t.deepEqual(recordSteps(fixture, { rounds: 100, bears: slots }), [
    "260 ms: 3 cold",
    "520 ms: 4 cold",
    "780 ms: 5 cold",
    "1040 ms: 6 cold",
    "1300 ms: 6 ready",
  ]);
});

test("the ramp falls on a shed and waits before it tries the same limit again", (t) => {
  const fixture = createFixture();
  fixture.probe("ready");
  t.deepEqual(recordSteps(fixture, { rounds: 120, bears: 3 }), [
    "260 ms: 3 cold",
    "520 ms: 4 cold",
    "540 ms: 2 cold",
    "800 ms: 3 cold",
    "1800 ms: 4 cold",
    "1820 ms: 2 cold",
    "2080 ms: 3 cold",
  ]);
});

test("a step of the ramp takes ten answers, however long they take", (t) => {
  const { driver, getLimit, probe, report, request } = createFixture();
  probe("ready");
  const limits = Array.from({ length: 11 }, (_, place) => {
    request(`call-${place}`);
    driver.now += 900;
    report(`call-${place}`);
    return getLimit();
  });
  t.deepEqual(limits, [2, 2, 2, 2, 2, 2, 2, 2, 2, 3, 3]);
});

test("a probe that says ready ends no ramp", (t) => {
  const fixture = createFixture();
  Array.from({ length: 50 }, () => {
    fixture.driver.now += 1_000;
    fixture.probe("ready");
  });
  t.is(fixture.getLimit(), 2);
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Cold);
});

test("a probe that says cold for good holds up the ramp, but does not stop it", (t) => {
  const fixture = createFixture();
  Array.from({ length: 600 }, (_, round) => {
    fixture.probe("cold");
    fixture.runRound(`round-${round}`);
  });
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Ready);
});

test("a server that turns to saying cold starts a ramp", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  t.is(fixture.getLimit(), slots);
  fixture.probe("cold");
  t.is(fixture.getLimit(), 2);
});

test("a shed at half of the slots or fewer is a relapse into cold start", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  fixture.request("one");
  fixture.report("one", DispatchResult.Shed);
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Cold);
  t.is(fixture.getLimit(), 2);
});

test("calls that take far longer than usual are a relapse into cold start", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  Array.from({ length: 30 }, (_, place) => {
    fixture.request(`slow-${place}`);
    fixture.driver.now += 10 * serviceMilliseconds;
    fixture.report(`slow-${place}`);
  });
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Cold);
});

test("one late call changes nothing", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  fixture.request("one", { spanMilliseconds: 60_000 });
  fixture.driver.now += 30_000;
  fixture.report("one");
  t.is(fixture.driver.getState().backendServerState, BackendServerState.Ready);
  t.true(fixture.driver.getState().serviceTime.recentMilliseconds < 40);
});

test("a raise that a shed followed is taken back, and the next one waits longer", (t) => {
  const fixture = createFixture();
  fixture.warmUp();
  t.deepEqual(recordSteps(fixture, { rounds: 120, bears: 4 }), [
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

test("an arriving high call displaces the queued call that ranks last", (t) => {
  const { driver, getReason, isAdmitted, report, request } = createFixture();
  ["one", "two"].forEach((name) => request(name));
  request("low-early", { priority: CallPriority.Low });
  request("low-late", { priority: CallPriority.Low, spanMilliseconds: 2_000 });
  request("normal-one");
  request("normal-two");
  request("high", { priority: CallPriority.High, spanMilliseconds: 3_000 });
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

test("a call that could not end in time is refused at once, not held", (t) => {
  const { driver, getReason, request, runRound } = createFixture();
  runRound("first");
  ["one", "two"].forEach((name) => request(name));
  request("short", { spanMilliseconds: 15 });
  t.is(getReason("short"), RefusalReason.ColdStart);
  request("long", { spanMilliseconds: 100 });
  t.is(getReason("long"), undefined);
  driver.now += 81;
  driver.send({ kind: AdmissionEventKind.InstantReached });
  t.is(getReason("long"), RefusalReason.ColdStart);
});

test("a free slot takes a call however long calls have taken", (t) => {
  const { driver, isAdmitted, report, request } = createFixture();
  request("slow", { spanMilliseconds: 60_000 });
  driver.now += 50_000;
  report("slow");
  request("short", { spanMilliseconds: 100 });
  t.true(isAdmitted("short"));
});

test("a call whose deadline has passed is refused", (t) => {
  const { getReason, request } = createFixture();
  request("past", { spanMilliseconds: 0 });
  t.is(getReason("past"), RefusalReason.DeadlinePassed);
});

test("the slot of a cancelled call is free only once two later probes show it", (t) => {
  const { driver, isAdmitted, probe, report, request } = createFixture();
  ["one", "two", "three"].forEach((name) => request(name));
  driver.now += 10;
  report("one", DispatchResult.Cancelled);
  t.false(isAdmitted("three"));
  probe("cold", 1);
  t.false(isAdmitted("three"), "The probe was sent no later than that");
  driver.now += 10;
  probe("cold", 2);
  t.false(isAdmitted("three"), "The server still counts two calls");
  driver.now += 10;
  probe("cold", 0);
  t.false(isAdmitted("three"), "The count lags: call two still runs");
  driver.now += 10;
  probe("cold", 1);
  t.false(isAdmitted("three"), "An answer on its way may be missing in it");
  driver.now += 10;
  probe("cold", 2);
  driver.now += 10;
  probe("cold", 1);
  t.false(isAdmitted("three"), "The probe before showed the contrary");
  driver.now += 10;
  probe("cold", 1);
  t.true(isAdmitted("three"));
});

test("the slot of a broken call is free at the deadline without proof", (t) => {
  const { driver, isAdmitted, report, request } = createFixture();
  ["one", "two"].forEach((name) => request(name));
  request("three", { spanMilliseconds: 60_000 });
  report("one", DispatchResult.Broken);
  driver.now += 4_999;
  driver.send({ kind: AdmissionEventKind.InstantReached });
  t.false(isAdmitted("three"));
  driver.now += 1;
  driver.send({ kind: AdmissionEventKind.InstantReached });
  t.true(isAdmitted("three"));
});

["counts calls that cannot be there", "does not answer"].forEach((fault) =>
  test(`a load endpoint that ${fault} holds no slot for long`, (t) => {
    const { driver, failProbe, isAdmitted, probe, report, request, warmUp } =
      createFixture();
    warmUp();
    const names = Array.from({ length: slots }, (_, place) => `call-${place}`);
    names.forEach((name) => request(name));
    names.forEach((name) => report(name, DispatchResult.Cancelled));
    request("waiting");
    Array.from({ length: 2 }, () => {
      driver.now += 2.5 * serviceMilliseconds;
      if (fault === "does not answer") return failProbe();
      probe("ready", slots + 1);
    });
    driver.send({ kind: AdmissionEventKind.InstantReached });
    t.true(isAdmitted("waiting"));
  })
);

test("a probe before the first snapshot is sent again after it", (t) => {
  const driver = createAdmissionDriver();
  driver.send({ kind: AdmissionEventKind.Started });
  driver.send({
    kind: AdmissionEventKind.ProbeAnswered,
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

test("calls that a former process left behind hold their slots", (t) => {
  const { isAdmitted, probe, request } = createFixture();
  probe("ready", 2);
  request("one");
  t.false(isAdmitted("one"));
});

test("trial calls that are refused come further and further apart", (t) => {
  const { driver, isAdmitted, report, request } = createFixture();
  request("first");
  report("first", DispatchResult.ConnectionRefused);
  const startedAt = driver.now;
  const trials: number[] = [];
  Array.from({ length: 600 }, (_, place) => {
    driver.now += 50;
    request(`call-${place}`);
    if (!isAdmitted(`call-${place}`)) return;
    trials.push(driver.now - startedAt);
    report(`call-${place}`, DispatchResult.ConnectionRefused);
  });
  const gaps = trials.map((trial, place) => trial - (trials[place - 1] ?? 0));
  t.true(gaps.every((gap, place) => gap >= 50 * 2 ** Math.min(place, 5)));
  t.true(gaps.every((gap, place) => gap <= 50 + 100 * 2 ** Math.min(place, 6)));
  t.true(trials.length >= 9, `${trials.length} trials in 30 s`);
});

test("a refused connection refuses the queue and leaves one trial call", (t) => {
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

test("probes that fail while calls succeed do not stop the traffic", (t) => {
  const { driver, failProbe, isAdmitted, report, request } = createFixture();
  Array.from({ length: 20 }, (_, place) => {
    request(`call-${place}`);
    driver.now += 10;
    report(`call-${place}`);
    failProbe();
    driver.now += 1_000;
  });
  t.true(isAdmitted("call-19"));
  t.not(driver.getState().backendServerState, BackendServerState.Down);
});

test("probes that fail while no call succeeds mean down, and a call may still try", (t) => {
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

test("a draining server refuses and starts cold when it comes back", (t) => {
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
  { name: "a leaving server", closed: { leaving: true } },
].forEach(({ closed, name }) =>
  test(`${name} starts cold when it returns`, (t) => {
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

test("the audit trail gets each change of state and zone once", (t) => {
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

test("refused callers are asked to return at the rate of service, not together", (t) => {
  const { driver, request, runRound } = createFixture();
  runRound("first");
  Array.from({ length: 106 }, (_, place) => request(`call-${place}`));
  const instants = [...driver.decisions.values()].flat().flatMap((decision) =>
    decision.kind === AdmissionDecisionKind.Refused &&
      decision.reason === RefusalReason.ColdStart
      ? [decision.retryAt - driver.now]
      : []
  );
  t.is(instants.length, 100);
  const inFirst = instants.filter((instant) => instant < 300).length;
  // Two slots of 20 ms serve 100 calls in a second.
  t.true(inFirst <= 40, `${inFirst} return within 300 ms`);
  t.true(Math.max(...instants) < 1_500);
});

test("connections bound the limit as well as slots", (t) => {
  const { applySnapshot, getLimit, warmUp } = createFixture();
  applySnapshot({ connections: 5 });
  warmUp();
  t.is(getLimit(), 3);
});

test("a call that is already held is refused", (t) => {
  const { driver, request } = createFixture();
  request("one");
  request("one");
  t.deepEqual(
    driver.decisions.get("one")?.map((decision) => decision.kind),
    [AdmissionDecisionKind.Admitted, AdmissionDecisionKind.Refused],
  );
});

test("a call that began too late for its deadline says nothing of the limit", (t) => {
  const { driver, getLimit, report, request, warmUp } = createFixture();
  warmUp();
  ["one", "two"].forEach((name) =>
    request(name, { spanMilliseconds: serviceMilliseconds })
  );
  driver.now += serviceMilliseconds;
  report("one", DispatchResult.Broken);
  t.is(getLimit(), slots);
  request("three", { spanMilliseconds: 10 * serviceMilliseconds });
  driver.now += 10 * serviceMilliseconds;
  report("three", DispatchResult.Broken);
  t.true(getLimit() < slots);
});

test("callers refused by a zone that is out are not asked to return together", (t) => {
  const { applySnapshot, driver, request } = createFixture();
  applySnapshot({ zoneState: ZoneState.TakenOut });
  Array.from({ length: 100 }, (_, place) => request(`call-${place}`));
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
