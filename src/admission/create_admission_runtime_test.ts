import test from "ava";
import { Result } from "true-myth";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallPriority } from "../configuration/call_priority.ts";
import { ZoneState } from "../configuration/zone_state.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionDecision } from "./admission_decision.ts";
import { AdmissionDecisionKind } from "./admission_decision_kind.ts";
import type { AdmissionRuntime } from "./admission_runtime.ts";
import { createAdmissionRuntime } from "./create_admission_runtime.ts";
import { DispatchResult } from "./dispatch_result.ts";
import { createTestEnvironment } from "./testing/create_test_environment.ts";
import { createTestSettings } from "./testing/create_test_settings.ts";
import { createTestSnapshot } from "./testing/create_test_snapshot.ts";

function createFixture() {
  const environment = createTestEnvironment(1);
  const runtime = createAdmissionRuntime({
    settings: createTestSettings(),
    environment,
    prober: {
      probe: () =>
        Promise.resolve(
          Result.ok({
            reportedState: "ready",
            running: 0,
            sentAt: environment.clock.now(),
          }),
        ),
      close: () => Promise.resolve(),
    },
  });
  const decisions = new Map<string, AdmissionDecision>();
  return { environment, runtime, decisions };
}

function sendRequest(
  fixture: ReturnType<typeof createFixture>,
  callIdentifier: string,
): void {
  fixture.runtime.request({
    callIdentifier,
    priority: CallPriority.Normal,
    deadline: fixture.environment.clock.now() + 1_000,
  }, (decision) => fixture.decisions.set(callIdentifier, decision));
}

function reportAnswer(
  runtime: AdmissionRuntime,
  callIdentifier: string,
  dispatchedAt: number,
): void {
  runtime.report({
    callIdentifier,
    dispatchedAt,
    result: DispatchResult.Answered,
  });
}

test("a request is refused before the first snapshot", (t) => {
  const fixture = createFixture();
  sendRequest(fixture, "one");
  t.like(fixture.decisions.get("one"), {
    kind: AdmissionDecisionKind.Refused,
    reason: RefusalReason.NodeStarting,
  });
});

test("at most as many calls as cold slots are admitted at the start", (t) => {
  const fixture = createFixture();
  fixture.runtime.applySnapshot(createTestSnapshot());
  ["one", "two", "three"].forEach((name) => sendRequest(fixture, name));
  t.is(
    fixture.decisions.get("one")?.kind,
    AdmissionDecisionKind.Admitted,
  );
  t.is(
    fixture.decisions.get("two")?.kind,
    AdmissionDecisionKind.Admitted,
  );
  t.false(fixture.decisions.has("three"));
  reportAnswer(fixture.runtime, "one", fixture.environment.clock.now());
  t.is(
    fixture.decisions.get("three")?.kind,
    AdmissionDecisionKind.Admitted,
  );
});

test("a zone taken out refuses its queue and every later request", (t) => {
  const fixture = createFixture();
  fixture.runtime.applySnapshot(createTestSnapshot());
  ["one", "two", "three"].forEach((name) => sendRequest(fixture, name));
  fixture.runtime.applySnapshot(
    createTestSnapshot({ zoneState: ZoneState.TakenOut }),
  );
  sendRequest(fixture, "four");
  ["three", "four"].forEach((name) =>
    t.like(fixture.decisions.get(name), {
      kind: AdmissionDecisionKind.Refused,
      reason: RefusalReason.ZoneTakenOut,
    })
  );
});

test("drain() resolves when every admitted call has been reported", async (t) => {
  const fixture = createFixture();
  fixture.runtime.applySnapshot(createTestSnapshot());
  ["one", "two", "three"].forEach((name) => sendRequest(fixture, name));
  let drained = false;
  const draining = fixture.runtime.drain().then(() => {
    drained = true;
  });
  t.like(fixture.decisions.get("three"), {
    reason: RefusalReason.NodeDraining,
  });
  reportAnswer(fixture.runtime, "one", fixture.environment.clock.now());
  await Promise.resolve();
  t.false(drained);
  reportAnswer(fixture.runtime, "two", fixture.environment.clock.now());
  await draining;
  t.true(drained);
});

test("a call withdrawn by a decision callback releases its slot", (t) => {
  const fixture = createFixture();
  const { runtime } = fixture;
  runtime.applySnapshot(createTestSnapshot());
  ["one", "two"].forEach((name) => sendRequest(fixture, name));
  const deadline = fixture.environment.clock.now() + 1_000;
  runtime.request(
    { callIdentifier: "three", priority: CallPriority.High, deadline },
    () => runtime.withdraw("four"),
  );
  sendRequest(fixture, "four");
  reportAnswer(runtime, "one", fixture.environment.clock.now());
  reportAnswer(runtime, "two", fixture.environment.clock.now());
  t.false(fixture.decisions.has("four"));
  t.is(runtime.getStatus().running, 1);
});

test("probes repeat at the interval until stop()", async (t) => {
  const { environment, runtime } = createFixture();
  runtime.applySnapshot(createTestSnapshot());
  runtime.start();
  await environment.advanceTo(environment.clock.now());
  t.is(runtime.getStatus().backendServerState, BackendServerState.Cold);
  t.is(environment.countTimers(), 1);
  runtime.stop();
  t.is(environment.countTimers(), 0);
});

test("stop() refuses the queued calls", (t) => {
  const fixture = createFixture();
  fixture.runtime.applySnapshot(createTestSnapshot());
  ["one", "two", "three"].forEach((name) => sendRequest(fixture, name));
  fixture.runtime.stop();
  t.like(fixture.decisions.get("three"), {
    reason: RefusalReason.NodeDraining,
  });
});

test("a failed first probe is logged and marks the backend server as down", async (t) => {
  const environment = createTestEnvironment(1);
  const messages: string[] = [];
  const runtime = createAdmissionRuntime({
    settings: createTestSettings(),
    environment: {
      ...environment,
      log: {
        ...environment.log,
        debug: (_fields, message) => messages.push(message),
      },
    },
    prober: {
      probe: () =>
        Promise.resolve(
          Result.err(
            createDiagnostic(DiagnosticCode.BackendServerUnreachable, {}),
          ),
        ),
      close: () => Promise.resolve(),
    },
  });
  runtime.applySnapshot(createTestSnapshot());
  runtime.start();
  await environment.advanceTo(environment.clock.now());
  t.deepEqual(messages, ["Probe failed"]);
  t.is(runtime.getStatus().backendServerState, BackendServerState.Down);
});
