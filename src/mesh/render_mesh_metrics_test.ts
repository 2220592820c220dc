import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { createMeshMetrics } from "./create_mesh_metrics.ts";
import { ViewChangeKind } from "./view_change_kind.ts";

/** Subjects of the lines that `MeshReporter.state` writes. */
const subjects = [
  "process",
  "quarantine",
  "settings",
  "source",
  "backend-server",
  "event-loop",
  "feed",
  "keys",
  "quotas",
];
const alarms = readFileSync("docs/operations/alarms.md", "utf8");
const operations = readFileSync("docs/OPERATIONS.md", "utf8");

async function renderMetricNames(): Promise<readonly string[]> {
  const text = await createMeshMetrics().render({
    rulesVersion: 1,
    sourceEra: 1,
    sourceSoundMilliseconds: 1,
    rulesAgeMilliseconds: 1,
    organisations: 1,
    feedFollowers: 1,
    offerConnections: 0,
    servedOfferConnections: 0,
    registeredServers: 1,
    zonesTakenOut: 1,
    running: 1,
    queued: 1,
    slots: 1,
    cold: false,
    callsPerSecondLimit: -1,
    leaving: false,
    open: true,
    callerCalls: 1,
    quotasOwned: 1,
    quotaOwnersUnreachable: 0,
    quarantinedRequests: 0,
    stopping: false,
  });
  return Array.from(text.matchAll(/^# TYPE (\w+)/gm), ([, name = ""]) => name);
}

function findMetricNames(page: string): readonly string[] {
  return Array.from(new Set(page.match(/catkinquay_\w+/g)));
}

/** Returns the values that the page compares a label with. */
function findLabelValues(page: string, label: string): readonly string[] {
  const matchers = page.matchAll(new RegExp(`${label}=~?"([^"]+)"`, "g"));
  return Array.from(matchers, ([, values = ""]) => values.split("\\|")).flat();
}

/** Returns the reasons that occur in the modules of a node on the users' platform, which are not all. */
function findWrittenReasons(): readonly RefusalReason[] {
  const sources = ["src/mesh", "src/gate", "src/balancing", "src/organisations"]
    .flatMap((folder) =>
      readdirSync(folder)
        .filter((name) => !name.endsWith("_test.ts"))
        .map((name) => readFileSync(join(folder, name), "utf8"))
    ).join("\n");
  return Object.entries(RefusalReason)
    .filter(([member]) => sources.includes(`RefusalReason.${member}`))
    .map(([, reason]) => reason);
}

test("no alarm watches a metric or a label that no node writes, and no metric is left out", async (t) => {
  const rendered = await renderMetricNames();
  t.deepEqual(findMetricNames(alarms).toSorted(), rendered.toSorted());
  const kinds: readonly string[] = Object.values(CallEventKind);
  const reasons: readonly string[] = findWrittenReasons();
  const outcomes: readonly string[] = [
    ...Object.values(Outcome),
    ...Object.values(BackendExchangeKind),
  ];
  const places = ["caller", "queue", "backend-server", "load-report"];
  [
    { label: "kind", known: kinds },
    { label: "reason", known: reasons },
    { label: "outcome", known: outcomes },
    { label: "place", known: places },
  ].forEach(({ label, known }) => {
    const values = findLabelValues(alarms, label);
    t.true(values.length > 0, label);
    t.deepEqual(values.filter((value) => !known.includes(value)), []);
  });
});

test("the page for operators names no metric that no node writes", async (t) => {
  const rendered = await renderMetricNames();
  t.deepEqual(
    findMetricNames(operations).filter((name) => !rendered.includes(name)),
    [],
  );
});

test("the page for operators explains every kind and subject of a line, and none that no node writes", (t) => {
  const table = operations.split("\n").filter((line) => line.startsWith("| `"));
  const explained = table.flatMap((line) =>
    Array.from(
      (line.split("|")[1] ?? "").matchAll(/`([^`]+)`/g),
      ([, name = ""]) => name,
    )
  ).filter((name) => !["kind", "subject"].includes(name));
  const written: readonly string[] = [
    ...Object.values(CallEventKind),
    ...Object.values(ViewChangeKind),
    ...subjects,
  ];
  t.deepEqual(explained.toSorted(), written.toSorted());
});
