import test from "ava";
import type { Version } from "../configuration/version.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { NodeState } from "../peers/node_state.ts";
import { VmState } from "../platform/vm_state.ts";
import { AuditEntryKind } from "../telemetry/audit_entry_kind.ts";
import { createDistributionFleet } from "../testing/create_distribution_fleet.ts";
import type { DistributionFleet } from "../testing/distribution_fleet.ts";
import type { FleetNode } from "../testing/fleet_node.ts";
import { publishSample } from "../testing/publish_sample.ts";
import { startDistributionFleet } from "../testing/start_distribution_fleet.ts";

const shape = { vms: 12, zones: 3 };

function getNumbers(
  nodes: readonly FleetNode[],
): readonly (number | undefined)[] {
  return nodes.map(({ runtime }) => runtime.getSnapshot()?.version.number);
}

function getVersions(fleet: DistributionFleet): readonly Version[] {
  return fleet.getNodes().flatMap(({ runtime }) =>
    runtime.getSnapshot()?.version ?? []
  );
}

function countAudit(node: FleetNode, kind: AuditEntryKind): number {
  return node.audit.filter((entry) => entry.kind === kind).length;
}

const onEveryNode = (number: number) => Array(shape.vms).fill(number);

test("a new version is in force on every node within a second, and no node reverts it", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 2 });
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(1));
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(1_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
  fleet.getNodes().forEach(({ applied }) =>
    t.deepEqual(applied.map(({ version }) => version.number), [1, 2])
  );
});

test("a change transfers only the parts that it affects", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 3 });
  const before = fleet.getNode("vm-5")?.runtime.getSnapshot();
  const sentBefore = fleet.network.getSentMessages().length;
  publishSample(fleet, { number: 2, backendServersLeaving: ["server-1"] });
  await fleet.advanceBy(1_000);
  const transferred = fleet.network.getSentMessages().slice(sentBefore)
    .filter(({ method, isResponse }) =>
      method === (isResponse ? "readParts" : "storeVersion")
    )
    .map(({ content }) => (content as { parts: { kind: string }[] }).parts);
  t.true(transferred.length > 0);
  transferred.forEach((parts) =>
    t.deepEqual(parts.map(({ kind }) => kind), ["base"])
  );
  const after = fleet.getNode("vm-5")?.runtime.getSnapshot();
  t.is(after?.services.get("service-2"), before?.services.get("service-2"));
  t.true(after?.backendServers.get("server-1")?.leaving);
});

test("a node that restarts while the platform is stale applies the version of its peers", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 4 });
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(1_000);
  publishSample(fleet, { number: 1 });
  const node = fleet.start("vm-4");
  await fleet.advanceBy(5_000);
  t.deepEqual(node.applied.map(({ version }) => version.number), [2]);
  await fleet.advanceBy(60_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
  t.true(
    fleet.getNodes().some((other) =>
      countAudit(other, AuditEntryKind.ConfigurationOlderIgnored) > 0
    ),
  );
});

test("a node that restarts without contact to its peers applies no version until one responds", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 5 });
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(1_000);
  publishSample(fleet, { number: 1 });
  const others = fleet.getNodes().filter(({ vm }) => vm !== "vm-4");
  fleet.network.partition([others.map(({ address }) => address)]);
  const node = fleet.start("vm-4");
  await fleet.advanceBy(120_000);
  t.deepEqual(node.applied, []);
  fleet.network.partition([]);
  await fleet.advanceBy(35_000);
  t.deepEqual(node.applied.map(({ version }) => version.number), [2]);
});

test("nodes that restart together do not accept the version of a stale platform from each other", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 20 });
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(1_000);
  publishSample(fleet, { number: 1 });
  const zone = fleet.getNodes().filter((node) => node.zone === "zone-2");
  fleet.network.partition([zone.map(({ address }) => address)]);
  const restarted = zone.map(({ vm }) => fleet.start(vm));
  await fleet.advanceBy(60_000);
  restarted.forEach(({ applied }) => t.deepEqual(applied, []));
  fleet.network.partition([]);
  await fleet.advanceBy(35_000);
  restarted.forEach(({ applied }) =>
    t.deepEqual(applied.map(({ version }) => version.number), [2])
  );
});

test("a version survives if its readers die right after reading it and the platform is down", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 6 });
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(5);
  const readers = fleet.getNodes().filter(({ runtime }) =>
    runtime.getStatus().isReader
  );
  await fleet.advanceBy(15);
  readers.forEach(({ vm }) => fleet.kill(vm));
  fleet.platform.setDown(true);
  t.true(readers.length > 0 && readers.length < shape.vms);
  await fleet.advanceBy(11_000);
  t.deepEqual(
    getNumbers(fleet.getNodes()),
    Array(shape.vms - readers.length).fill(2),
  );
});

test("a reader puts a version in force only after two peers store it", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 7 });
  fleet.network.setScript(({ method }) => ({
    isLost: method === "storeVersion",
  }));
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(1_000);
  t.deepEqual(
    fleet.getNodes().filter(({ runtime }) => runtime.getStatus().isReader)
      .map(({ applied }) => applied.length),
    fleet.getNodes().filter(({ runtime }) => runtime.getStatus().isReader)
      .map(() => 1),
  );
  await fleet.advanceBy(10_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
});

test("an invalid version is refused on every node for the same reason, and the next valid one is applied", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 8 });
  publishSample(fleet, { number: 2, zonesTakenOut: ["zone-9"] });
  await fleet.advanceBy(10_000);
  const refused = fleet.getNodes().map(({ runtime }) =>
    runtime.getStatus().refused
  );
  refused.forEach((refusal) => {
    t.deepEqual(refusal, refused[0]);
    t.is(refusal?.version?.number, 2);
    t.is(refusal?.reasons[0]?.code, DiagnosticCode.ConfigurationNameUnknown);
  });
  fleet.getNodes().forEach((node) =>
    t.is(countAudit(node, AuditEntryKind.ConfigurationRefused), 1)
  );
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(1));
  publishSample(fleet, { number: 2, zonesTakenOut: ["zone-2"] });
  await fleet.advanceBy(1_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
  fleet.getNodes().forEach(({ runtime }) =>
    t.is(runtime.getStatus().refused, undefined)
  );
});

test("a truncated document is refused on every node, and the version in force stays", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 9 });
  fleet.platform.publish('{"format": 1, "number": 2, "register": {');
  await fleet.advanceBy(10_000);
  fleet.getNodes().forEach(({ runtime }) =>
    t.is(
      runtime.getStatus().refused?.reasons[0]?.code,
      DiagnosticCode.ConfigurationNotJson,
    )
  );
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(1));
});

test("all nodes converge to one of two documents with the same number, and the conflict is recorded", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 10 });
  publishSample(fleet, { number: 2, retryBudgetPercent: 11 });
  await fleet.advanceBy(30);
  publishSample(fleet, { number: 2, retryBudgetPercent: 12 });
  await fleet.advanceBy(5_000);
  t.is(new Set(getVersions(fleet).map(({ digest }) => digest)).size, 1);
  t.true(
    fleet.getNodes().some((node) =>
      countAudit(node, AuditEntryKind.ConfigurationConflict) > 0 &&
      node.runtime.getStatus().conflict !== undefined
    ),
  );
});

test("corrupt parts are never applied, and are pulled from another peer", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 11 });
  const corruptPort = fleet.getNodes()[0]?.address.port;
  fleet.network.setScript(({ method, isResponse, from, content }) => {
    const parts = (content as { parts?: object[] }).parts ?? [];
    return method === "readParts" && isResponse &&
        from.endsWith(`:${corruptPort}`)
      ? {
        content: { parts: parts.map((part) => ({ ...part, zones: [] })) },
      }
      : {};
  });
  publishSample(fleet, { number: 2, zonesTakenOut: ["zone-1"] });
  await fleet.advanceBy(5_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
  fleet.getNodes().forEach(({ runtime }) =>
    t.is(runtime.getSnapshot()?.zones.size, 3)
  );
});

test("both sides of a partition keep a version in force, and converge to the same one when it heals", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 12 });
  const side = fleet.getNodes().filter(({ zone }) => zone === "zone-1");
  fleet.network.partition([side.map(({ address }) => address)]);
  fleet.platform.setDisconnectedVms(side.map(({ vm }) => vm));
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(60_000);
  t.deepEqual(getNumbers(side), side.map(() => 1));
  t.is(getNumbers(fleet.getNodes()).filter((number) => number === 2).length, 8);
  fleet.network.partition([]);
  await fleet.advanceBy(11_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
});

test("a node that receives no message reads the platform itself", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 27 });
  await fleet.advanceBy(15_000);
  const others = fleet.getNodes().filter(({ runtime }) =>
    !runtime.getStatus().isReader
  );
  fleet.network.partition(others.map(({ address }) => [address]));
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(11_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
});

test("nodes that restart together query their peers and send few reads to the platform", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 13 });
  publishSample(fleet, { number: 2 });
  await fleet.advanceBy(30_000);
  const readsBefore = fleet.platform.getReadCount();
  const restarted = fleet.getNodes().slice(3).map(({ vm }) => vm);
  restarted.forEach((vm) => fleet.kill(vm));
  restarted.forEach((vm) => fleet.start(vm));
  await fleet.advanceBy(5_000);
  t.deepEqual(getNumbers(fleet.getNodes()), onEveryNode(2));
  t.true(fleet.platform.getReadCount() - readsBefore < 4 * shape.vms);
});

test("every node receives the record of every other node", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 14 });
  await fleet.advanceBy(20_000);
  fleet.getNodes().forEach(({ runtime }) =>
    t.is(runtime.getPeers().size, shape.vms - 1)
  );
});

test("a VM that is removed from the platform's list is gone on every node, at the same instant", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 15 });
  await fleet.advanceBy(15_000);
  fleet.kill("vm-12");
  await fleet.advanceBy(10_000);
  t.is(fleet.getNode("vm-1")?.runtime.getGoneVms().size, 0);
  fleet.platform.setVms(fleet.getVms().filter(({ vm }) => vm !== "vm-12"));
  await fleet.advanceBy(30_000);
  const instants = fleet.getNodes().map(({ runtime }) =>
    runtime.getGoneVms().get("vm-12")
  );
  t.not(instants[0], undefined);
  t.is(new Set(instants).size, 1);
  fleet.platform.setVms(fleet.getVms());
  await fleet.advanceBy(30_000);
  fleet.getNodes().forEach(({ runtime }) => t.is(runtime.getGoneVms().size, 0));
});

test("a VM that the platform lists as leaving is shown as draining on every node within seconds", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 16 });
  await fleet.advanceBy(15_000);
  fleet.platform.setVms(
    fleet.getVms().map((entry) =>
      entry.vm === "vm-7" ? { ...entry, state: VmState.Leaving } : entry
    ),
  );
  await fleet.advanceBy(6_000);
  fleet.getNodes().forEach(({ vm, runtime }) => {
    t.deepEqual([...runtime.getLeavingVms().keys()], ["vm-7"]);
    t.true(
      vm === "vm-7" ||
        runtime.getPeers().get("vm-7")?.state === NodeState.Draining,
    );
  });
  fleet.platform.setVms(fleet.getVms());
  await fleet.advanceBy(10_000);
  fleet.getNodes().forEach(({ runtime }) =>
    t.is(runtime.getLeavingVms().size, 0)
  );
});

test("the draining state of a node reaches every other node within seconds", async (t) => {
  const fleet = await startDistributionFleet({ ...shape, seed: 17 });
  await fleet.advanceBy(15_000);
  fleet.setState("vm-7", NodeState.Draining);
  await fleet.advanceBy(5_000);
  fleet.getNodes().filter(({ vm }) => vm !== "vm-7").forEach(({ runtime }) =>
    t.is(runtime.getPeers().get("vm-7")?.state, NodeState.Draining)
  );
});

test("a first start waits for most nodes, and a node without peers does not wait", async (t) => {
  const fleet = createDistributionFleet({ ...shape, seed: 18 });
  publishSample(fleet, { number: 1 });
  const names = Array.from(
    { length: shape.vms },
    (_, index) => `vm-${index + 1}`,
  );
  names.slice(0, 6).forEach(fleet.start);
  await fleet.advanceBy(20_000);
  t.deepEqual(getNumbers(fleet.getNodes()), Array(6).fill(undefined));
  names.slice(6, 8).forEach(fleet.start);
  await fleet.advanceBy(35_000);
  t.deepEqual(getNumbers(fleet.getNodes()), Array(8).fill(1));

  const alone = createDistributionFleet({ vms: 1, zones: 1, seed: 19 });
  publishSample(alone, { number: 1 });
  alone.start("vm-1");
  await alone.advanceBy(3_000);
  t.deepEqual(getNumbers(alone.getNodes()), [1]);
});
