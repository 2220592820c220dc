import test, { type ExecutionContext } from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { CallEventKind } from "./call_event_kind.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

/** Two VMs in each of three zones; the first and the fourth are in the same one. */
const vms = 6;
const neighbour = 3;
/** Time in which every node has applied a change or a new era. */
const changeMilliseconds = 2_000;
/** Time after which operators and backend servers have written again, with a margin. */
const rewriteMilliseconds = 6_000;
const callCount = 5;

interface WithdrawnThing {
  readonly name: string;
  /** Writes the one change that withdraws it. */
  readonly withdraw: (fleet: MeshFleet) => void;
}

const withdrawnThings: readonly WithdrawnThing[] = [
  {
    name: "a zone that was taken out",
    withdraw: ({ source, settings }) =>
      source.put("zone", {
        kind: SourceValueKind.ZoneTakenOut,
        zone: settings[0]!.zone,
      }),
  },
  {
    name: "a backend server that was draining",
    withdraw: (fleet) =>
      fleet.publishServer(0, {
        availability: BackendServerAvailability.Draining,
      }),
  },
  {
    name: "a route that was dropped",
    withdraw: ({ source }) =>
      source.put("rules", {
        kind: SourceValueKind.Rules,
        rules: createSampleRules({
          version: 2,
          routes: [createSampleRoute({ pathPrefix: "/other/" })],
          limits: {
            headerBytesMaximum: 16_384,
            bodyBytesMaximum: 65_536,
            headerMilliseconds: 3_000,
            idleMilliseconds: 15_000,
          },
        }),
      }),
  },
];

/** Returns how many calls through a node the first backend server runs. */
async function countRuns(fleet: MeshFleet, vm: number): Promise<number> {
  const before = fleet.backends[0]!.runs.length;
  await Promise.all(Array.from({ length: callCount }, () => fleet.call(vm)));
  return fleet.backends[0]!.runs.length - before;
}

async function awaitReadiness(
  fleet: MeshFleet,
  vm: number,
): Promise<boolean> {
  let status = 0;
  return await waitUntil(() => {
    void fleet.fetchReadinessStatus(vm).then((received) => {
      status = received;
    });
    return status === 200;
  });
}

async function assertNotInUse(
  t: ExecutionContext,
  { fleet, vm }: { readonly fleet: MeshFleet; readonly vm: number },
): Promise<void> {
  t.is(await countRuns(fleet, vm), 0, `VM ${vm}`);
}

withdrawnThings.forEach(({ name, withdraw }) =>
  serialTest(
    `a node that restarts while the source is back from an older copy does not use what its neighbour knows as withdrawn: ${name}`,
    async (t) => {
      const fleet = await startMeshFleet({ vms });
      try {
        t.true(await countRuns(fleet, 0) > 0);
        withdraw(fleet);
        await delay(changeMilliseconds);
        await assertNotInUse(t, { fleet, vm: 0 });
        fleet.source.restoreCopy({ changesLost: 1 });
        await delay(changeMilliseconds);
        await assertNotInUse(t, { fleet, vm: 0 });
        await assertNotInUse(t, { fleet, vm: neighbour });
        await fleet.restart(0);
        await delay(changeMilliseconds / 2);
        await assertNotInUse(t, { fleet, vm: neighbour });
        await assertNotInUse(t, { fleet, vm: 0 });
      } finally {
        await fleet.close();
      }
    },
  )
);

serialTest(
  "the node beside a draining backend server refuses the offers of a node that restarted while the source is back from an older copy",
  async (t) => {
    const fleet = await startMeshFleet({ vms });
    try {
      fleet.publishServer(neighbour, {
        availability: BackendServerAvailability.Draining,
      });
      await delay(changeMilliseconds);
      fleet.source.restoreCopy({ changesLost: 1 });
      // Neighbours no longer tell what was withdrawn before.
      await delay(rewriteMilliseconds);
      const { identifier, runs } = fleet.backends[neighbour]!;
      const runCount = runs.length;
      await fleet.restart(0);
      // Callers are sent to a node only while it is ready.
      const isReady = await awaitReadiness(fleet, 0);
      t.true(isReady);
      // The draining one remains in the own zone of the restarted node.
      await fleet.backends[0]!.crash();
      const responses = await Promise.all(
        Array.from({ length: callCount }, () => fleet.call(0)),
      );
      t.deepEqual(
        responses.map(({ status }) => status),
        responses.map(() => 200),
      );
      t.true(
        fleet.events.some(({ kind, backendServer }) =>
          kind === CallEventKind.OfferRefused && backendServer === identifier
        ),
      );
      t.is(runs.length, runCount);
    } finally {
      await fleet.close();
    }
  },
);
