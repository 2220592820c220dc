import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { Organisation } from "../organisations/organisation.ts";
import { rankQuotaHosts } from "../quotas/rank_quota_hosts.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createFleetRules } from "../testing/mesh/create_fleet_rules.ts";
import { createSampleOrganisation } from "../testing/mesh/create_sample_organisation.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import type { MeshResponse } from "../testing/mesh/mesh_response.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { CallEventKind } from "./call_event_kind.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const vms = 3;
const slots = 100;
const hot = createOrganisation("hot", { callsPerSecond: 20, burstCalls: 20 });
const small = Array.from(
  { length: 4 },
  (_, index) =>
    createOrganisation(`small-${index}`, { callsPerSecond: 5, burstCalls: 5 }),
);
/** The most calls of `hot` in a window of 5 s: rate, burst, a quarter more, and the slack. */
const hotCallsMaximum = (20 * 5 + 20) * 1.25 + 20;
/** A reduced granter's share of the excess beyond the tokens of a lifetime of 0.5 s. */
const reducedCallsMaximum = (hotCallsMaximum - 20 * 5 - 20 - 20 * 0.5) *
  0.75 / 3;
/** Time in which the owners' buckets have filled after the rules are in force. */
const fillMilliseconds = 1_500;

function createOrganisation(
  name: string,
  quota: Pick<Organisation, "callsPerSecond" | "burstCalls">,
): Organisation {
  return createSampleOrganisation(name, { keys: [`key-${name}`], ...quota });
}

function call(
  fleet: MeshFleet,
  vm: number,
  { name }: Organisation,
): Promise<MeshResponse> {
  return fleet.call(vm, { headers: { [MeshHeader.Key]: `key-${name}` } });
}

function putRules({ source }: MeshFleet, version: number): void {
  source.put("rules", {
    kind: SourceValueKind.Rules,
    rules: {
      ...createFleetRules("vitrine", {}),
      version,
      organisations: new Map([hot, ...small].map((each) => [each.name, each])),
    },
  });
}

/** Starts nodes that know the organisations from the first reading on. */
function withQuotas(run: (fleet: MeshFleet) => Promise<void>): Promise<void> {
  return withMeshFleet({ vms, slots }, async (fleet) => {
    putRules(fleet, 2);
    await waitUntil(() =>
      fleet.reports.filter((line) => line.includes('"granters-changed"'))
        .length >= vms
    );
    await Promise.all(
      Array.from({ length: vms }, (_, index) => fleet.restart(index)),
    );
    await waitUntil(() =>
      fleet.reports.filter((line) => line.includes('"granters-changed"'))
        .length >= 2 * vms
    );
    await delay(fillMilliseconds);
    await run(fleet);
  });
}

/** Sends calls of one organisation through all nodes in turn, evenly spread. */
async function sendCalls(
  fleet: MeshFleet,
  organisation: Organisation,
  options: {
    readonly callsPerSecond: number;
    readonly milliseconds: number;
    readonly vms?: readonly number[];
  },
): Promise<readonly MeshResponse[]> {
  const { callsPerSecond, milliseconds, vms: used = [0, 1, 2] } = options;
  const count = callsPerSecond * milliseconds / 1_000;
  const calls = Array.from({ length: count }, async (_, index) => {
    await delay(index * 1_000 / callsPerSecond);
    return await call(fleet, used[index % used.length]!, organisation);
  });
  return await Promise.all(calls);
}

function countStatus(
  responses: readonly MeshResponse[],
  status: number,
): number {
  return responses.filter((response) => response.status === status).length;
}

serialTest(
  "an organisation at ten times its quota runs within the bound; small ones beside it are served",
  (t) =>
    withQuotas(async (fleet) => {
      const [hotResponses, ...smallResponses] = await Promise.all([
        sendCalls(fleet, hot, { callsPerSecond: 200, milliseconds: 4_000 }),
        ...small.map((each) =>
          sendCalls(fleet, each, { callsPerSecond: 4, milliseconds: 4_000 })
        ),
      ]);
      const served = countStatus(hotResponses, 200);
      t.true(served >= 20 * 4 * 0.9, `${served} served`);
      t.true(served <= hotCallsMaximum, `${served} served`);
      t.is(served + countStatus(hotResponses, 429), hotResponses.length);
      smallResponses.forEach((responses) =>
        t.is(countStatus(responses, 200), responses.length)
      );
      const refusals = hotResponses.filter(({ status }) => status === 429);
      t.true(
        refusals.every(({ headers }) => Number(headers["retry-after"]) > 0),
      );
      t.regex(refusals[0]!.body, /"outcome":"not-run"/);
      const logged = fleet.events.find(({ kind }) =>
        kind === CallEventKind.Refused
      );
      t.is(logged?.reason, RefusalReason.QuotaExceeded);
      t.is(logged?.organisation, "hot");
    }),
);

serialTest(
  "the quota is the whole one for callers of a single node",
  (t) =>
    withQuotas(async (fleet) => {
      const responses = await sendCalls(fleet, hot, {
        callsPerSecond: 18,
        milliseconds: 3_000,
        vms: [1],
      });
      t.is(countStatus(responses, 200), responses.length);
    }),
);

/** Returns the index of the VM whose node owns the quota of `hot`. */
function findOwner(fleet: MeshFleet): number {
  const hosts = fleet.settings.map(({ backendServer }) => backendServer.host)
    .sort();
  const { owner } = rankQuotaHosts(hot.name, hosts);
  return fleet.settings.findIndex(({ backendServer }) =>
    backendServer.host === owner
  );
}

serialTest(
  "while the owner stops and starts again, its deputy grants in its place, within the bound",
  (t) =>
    withQuotas(async (fleet) => {
      const index = findOwner(fleet);
      const others = [0, 1, 2].filter((vm) => vm !== index);
      const restarted = fleet.restart(index);
      const responses = await sendCalls(fleet, hot, {
        callsPerSecond: 18,
        milliseconds: 6_000,
        vms: others,
      });
      await restarted;
      const served = countStatus(responses, 200);
      // Without the lease, the deputy grants 1.5 calls a second.
      t.true(served >= 0.9 * responses.length, `${served} served`);
      t.true(fleet.reports.some((line) => line.includes("owner-unreachable")));
      const again = await sendCalls(fleet, hot, {
        callsPerSecond: 18,
        milliseconds: 2_000,
      });
      t.is(countStatus(again, 200), again.length);
      t.true(fleet.reports.some((line) => line.includes("owner-reached")));
    }),
);

// Guards against a lease that the stopping owner takes back with each reading.
serialTest(
  "a stopping owner leaves the lease with its deputy while it reads the source",
  (t) =>
    withQuotas(async (fleet) => {
      const index = findOwner(fleet);
      const others = [0, 1, 2].filter((vm) => vm !== index);
      const stopped = fleet.daemons[index]!.stop();
      let version = 3;
      const readings = setInterval(() => {
        putRules(fleet, version);
        version += 1;
      }, 100);
      const responses = await sendCalls(fleet, hot, {
        callsPerSecond: 18,
        milliseconds: 2_500,
        vms: others,
      }).finally(() => clearInterval(readings));
      const served = countStatus(responses, 200);
      t.true(served >= 0.9 * responses.length, `${served} served`);
      await stopped;
      await fleet.restart(index);
    }),
);

serialTest(
  "while the owner is gone its deputy grants a part, within the bound",
  (t) =>
    withQuotas(async (fleet) => {
      const index = findOwner(fleet);
      const others = [0, 1, 2].filter((vm) => vm !== index);
      await fleet.daemons[index]!.stop();
      // Longer than any lease.
      await delay(5_000);
      const without = await sendCalls(fleet, hot, {
        callsPerSecond: 40,
        milliseconds: 2_000,
        vms: others,
      });
      const served = countStatus(without, 200);
      t.true(served > 0 && served <= reducedCallsMaximum, `${served} served`);
      // The owner knows that the quota is used up, the deputy does not.
      t.is(countStatus(without, 429), 0);
      t.is(served + countStatus(without, 503), without.length);
      await fleet.restart(index);
    }),
);

serialTest(
  "a call that has not run gives its token back",
  (t) =>
    withQuotas(async (fleet) => {
      const [first] = small;
      fleet.backends.forEach((backend) => {
        backend.script = (_request, response) => {
          response.writeHead(503, { [MeshHeader.NotRun]: "1" }).end();
        };
      });
      // Far more than the bucket holds, one after the other.
      for (let count = 0; count < 60; count += 1) {
        t.not((await call(fleet, 0, first!)).status, 429);
      }
    }),
);

serialTest(
  "without a quota, no node sends a message for it",
  (t) =>
    withMeshFleet({ vms, slots }, async (fleet) => {
      t.is((await fleet.call(0)).status, 200);
      t.false(fleet.reports.some((line) => line.includes('"quotas"')));
    }),
);
