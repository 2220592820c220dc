import test from "ava";
import type { Organisation } from "../organisations/organisation.ts";
import { createQuotaFleet } from "../testing/quotas/create_quota_fleet.ts";
import { getWorstWindowExcess } from "../testing/quotas/get_worst_window_excess.ts";
import type {
  QuotaFleet,
  QuotaFleetNode,
} from "../testing/quotas/quota_fleet.ts";
import { restartQuotaNode } from "../testing/quotas/restart_quota_node.ts";
import { stepQuotaFleet } from "../testing/quotas/step_quota_fleet.ts";
import { getHandoverTimes } from "./get_handover_times.ts";
import { rankQuotaHosts } from "./rank_quota_hosts.ts";

const bounds = { windowMilliseconds: 5_000, excessRatio: 0.25, slackCalls: 5 };
const times = getHandoverTimes({
  changeMilliseconds: 2_500,
  contactMilliseconds: 3_000,
});
const organisation: Organisation = {
  name: "org",
  keyHashes: [],
  priority: undefined,
  callsPerSecond: 100,
  burstCalls: 0,
};
const nodeCount = 6;
const callsMaximum = 100 * 5 * 1.25 + 5;
const tickMilliseconds = 25;
/** Calls of each node in a tick: five times the quota in all. */
const callsPerTick = 2;

function createFixture() {
  const fleet = createQuotaFleet(organisation, {
    nodes: nodeCount,
    hosts: nodeCount,
    seed: 1,
  });
  const { hosts } = fleet.versions[0]!;
  const { owner, deputy } = rankQuotaHosts(organisation.name, hosts);
  return {
    fleet,
    hosts,
    owner: fleet.nodes.find(({ host }) => host === owner)!,
    deputy: fleet.nodes.find(({ host }) => host === deputy)!,
  };
}

function advance(fleet: QuotaFleet, milliseconds: number): void {
  const ticks = milliseconds / tickMilliseconds;
  Array.from({ length: ticks }, () =>
    stepQuotaFleet(fleet, {
      bounds,
      times,
      elapsedMilliseconds: tickMilliseconds,
      calls: fleet.nodes.map(() => callsPerTick),
    }));
}

function removeHost(fleet: QuotaFleet, { host }: QuotaFleetNode): void {
  const { hosts } = fleet.versions.at(-1)!;
  fleet.versions.push({
    ...fleet.versions.at(-1)!,
    since: fleet.now,
    hosts: hosts.filter((other) => other !== host),
  });
}

function getExcess(fleet: QuotaFleet): number {
  return getWorstWindowExcess(fleet.runs, {
    windowMilliseconds: bounds.windowMilliseconds,
    getCallsMaximum: () => callsMaximum,
  });
}

/** Returns the calls a second that ran between two instants. */
function getRate(fleet: QuotaFleet, from: number, to: number): number {
  const runs = fleet.runs.filter((instant) => instant > from && instant <= to);
  return runs.length * 1_000 / (to - from);
}

// Guards against two owners with the whole rate each, on the sides of a cut,
// while the owner still counts as current for the nodes that it reaches.
test("an owner that is cut off with half of the nodes and removed, and the new one, stay within the bound together", (t) => {
  const { fleet, owner, deputy } = createFixture();
  advance(fleet, 6_000);
  const others = fleet.nodes.filter((node) =>
    node !== owner && node !== deputy
  );
  [owner, ...others.slice(0, 2)].forEach((node) => {
    node.side = 1;
    node.isSourceReachable = false;
  });
  removeHost(fleet, owner);
  advance(fleet, 12_000);
  t.true(getExcess(fleet) <= 0, `excess ${getExcess(fleet)}`);
  // In the end the new owner grants the whole rate.
  const rate = getRate(fleet, fleet.now - 3_000, fleet.now);
  t.true(rate >= 90, `${rate} calls a second`);
});

// Guards against a time without an owner whenever a backend server is taken
// away in the regular way.
test("an owner that is removed while it can be reached hands the quota over at once", (t) => {
  const { fleet, owner } = createFixture();
  advance(fleet, 6_000);
  removeHost(fleet, owner);
  const removedAt = fleet.now;
  advance(fleet, 2_000);
  const rate = getRate(fleet, removedAt, fleet.now);
  t.true(rate >= 90, `${rate} calls a second`);
  t.true(getExcess(fleet) <= 0, `excess ${getExcess(fleet)}`);
});

// Guards against a burst for each life of the owner's process.
test("an owner that is killed again and again stays within the bound", (t) => {
  const { fleet, owner } = createFixture();
  advance(fleet, 6_000);
  Array.from({ length: 8 }, () => {
    restartQuotaNode(fleet, owner, { afterMilliseconds: 200 });
    advance(fleet, 1_000);
  });
  t.true(getExcess(fleet) <= 0, `excess ${getExcess(fleet)}`);
});

// Guards against a quota that counts as used up while its owner is dead.
test("while the owner is dead its deputy grants at the reduced rate, and the owner the whole one at once when it is back", (t) => {
  const { fleet, owner } = createFixture();
  advance(fleet, 6_000);
  restartQuotaNode(fleet, owner, { afterMilliseconds: 4_000 });
  advance(fleet, 4_000);
  const reducedRate = getRate(fleet, fleet.now - 2_000, fleet.now);
  t.true(reducedRate > 0 && reducedRate < 25, `${reducedRate} calls a second`);
  advance(fleet, 4_000);
  const rate = getRate(fleet, fleet.now - 2_000, fleet.now);
  t.true(rate >= 90, `${rate} calls a second`);
});

// Guards against a part of the quota only, while the source turns the owner's
// node away, which callers and other nodes still reach.
test("an owner whose view is outdated leases the quota to its deputy, and takes it back", (t) => {
  const { fleet, owner } = createFixture();
  advance(fleet, 6_000);
  owner.isSourceReachable = false;
  advance(fleet, 12_000);
  const leasedRate = getRate(fleet, fleet.now - 4_000, fleet.now);
  t.true(leasedRate >= 90, `${leasedRate} calls a second`);
  owner.isSourceReachable = true;
  advance(fleet, 2_000);
  const rate = getRate(fleet, fleet.now - 1_000, fleet.now);
  t.true(rate >= 90, `${rate} calls a second`);
  t.true(getExcess(fleet) <= 0, `excess ${getExcess(fleet)}`);
});

test("an owner that is cut off after it has leased the quota, and its deputy, stay within the bound together", (t) => {
  const { fleet, owner } = createFixture();
  advance(fleet, 6_000);
  owner.isSourceReachable = false;
  advance(fleet, 6_000);
  owner.isSourceReachable = true;
  owner.side = 1;
  fleet.nodes.find((node) => node !== owner)!.side = 1;
  advance(fleet, 15_000);
  t.true(getExcess(fleet) <= 0, `excess ${getExcess(fleet)}`);
});

// Guards against a small part of every quota for seconds after a power cut, when
// all hosts are registered anew.
test("owners are established at once if all hosts are new", (t) => {
  const { fleet } = createFixture();
  fleet.nodes.forEach((node) => {
    node.newUntil = 60_000;
  });
  advance(fleet, 3_000);
  const rate = getRate(fleet, 1_000, fleet.now);
  t.true(rate >= 90, `${rate} calls a second`);
});

// Guards against a small part of the quota while a zone learns late that one of
// its nodes is the new owner.
test("the former owner grants on until the new one knows of the change", (t) => {
  const { fleet, owner, deputy } = createFixture();
  advance(fleet, 6_000);
  deputy.lagMilliseconds = 900;
  removeHost(fleet, owner);
  const removedAt = fleet.now;
  advance(fleet, 2_000);
  const rate = getRate(fleet, removedAt, fleet.now);
  t.true(rate >= 90, `${rate} calls a second`);
  t.true(getExcess(fleet) <= 0, `excess ${getExcess(fleet)}`);
});

// Guards against a time at the reduced rate while VMs are replaced in turn: the
// new owner has leased the quota, and the lease ends before the handover.
test("an owner that stops and is removed hands the quota over to its lessee", (t) => {
  const { fleet, owner, deputy } = createFixture();
  advance(fleet, 6_000);
  owner.stopsAt = fleet.now + 3_000;
  advance(fleet, 1_000);
  const stoppedAt = fleet.now;
  t.true(deputy.granter!.leaseUntil > fleet.now);
  removeHost(fleet, owner);
  Array.from({ length: 8 }, () => {
    const from = fleet.now;
    advance(fleet, 1_000);
    const rate = getRate(fleet, from, fleet.now);
    t.true(rate >= 90, `${rate} calls a second from ${from - stoppedAt} ms on`);
  });
  t.true(getExcess(fleet) <= 0, `excess ${getExcess(fleet)}`);
});
