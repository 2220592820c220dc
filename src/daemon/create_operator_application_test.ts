import test from "ava";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createAuditTrail } from "../telemetry/create_audit_trail.ts";
import { createOperatorApplication } from "./create_operator_application.ts";
import type { NodeStatus } from "./node_status.ts";

function createApplication(ready: boolean) {
  const auditTrail = createAuditTrail({
    vm: "vm-1",
    clock: { now: () => 1 },
    write: () => {},
  });
  auditTrail.record({
    kind: AuditEntryKind.NodeStarted,
    source: "self",
    reasons: [],
  });
  return createOperatorApplication({
    isReady: () => ready,
    getStatus: () => ({ vm: "vm-1" }) as NodeStatus,
    renderMetrics: () => Promise.resolve("catkinquay_ready 1\n"),
    getDocument: () => undefined,
    auditTrail,
  });
}

test("the operators' listener distinguishes liveness from readiness", async (t) => {
  const starting = await createApplication(false).request("/health");
  t.is(starting.status, 503);
  t.deepEqual(await starting.json(), { live: true, ready: false });
  const serving = await createApplication(true).request("/health");
  t.is(serving.status, 200);
  t.is((await createApplication(false).request("/health/live")).status, 200);
});

test("the operators' listener serves the audit trail as JSON lines", async (t) => {
  const page = await createApplication(true).request("/trail");
  t.is(
    await page.text(),
    '{"kind":"node-started","source":"self","reasons":[],"at":1,"vm":"vm-1"}\n',
  );
});

test("the operators' listener responds with status 404 to an unknown page", async (t) => {
  const page = await createApplication(true).request("/nothing");
  t.is(page.status, 404);
  t.like(await page.json(), { error: "Unknown page" });
});

test("the operators' listener responds with status 404 while no configuration is in force", async (t) => {
  t.is((await createApplication(true).request("/configuration")).status, 404);
});
