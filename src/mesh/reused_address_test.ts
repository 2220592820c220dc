import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import type { RegisterEntry } from "../register/register_entry.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import type { Incarnation } from "../testing/mesh/incarnation.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { startIncarnation } from "../testing/mesh/start_incarnation.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const addressReuseMilliseconds = 400;
const ownService = "vitrine";
const otherService = "encomendas";
const callIntervalMilliseconds = 20;
/** Several intervals of the probes of a backend server that is down. */
const observedMilliseconds = 1_500;

/** Publishes a backend server at the address of the fleet's first one. */
function publishSuccessor(
  fleet: MeshFleet,
  change: Partial<RegisterEntry> & { readonly identifier: string },
): void {
  const { address } = fleet.backends[0]!;
  const entry = createSampleEntry({
    service: ownService,
    address,
    slots: 4,
    bornAt: 2,
    ...change,
  });
  fleet.source.put(`server/${entry.identifier}`, {
    kind: SourceValueKind.BackendServer,
    entry,
  });
}

/** Sends calls through every node for some time; returns their statuses. */
async function callForAWhile(
  fleet: MeshFleet,
  milliseconds: number,
): Promise<readonly number[]> {
  const rounds = Math.ceil(milliseconds / callIntervalMilliseconds);
  const calls = await Array.from({ length: rounds }).reduce<
    Promise<readonly Promise<{ readonly status: number }>[]>
  >(async (earlier) => {
    const sent = await earlier;
    await delay(callIntervalMilliseconds);
    return [...sent, ...fleet.daemons.map((_, index) => fleet.call(index))];
  }, Promise.resolve([]));
  return (await Promise.all(calls)).map(({ status }) => status);
}

/** Ends the first backend server; another one starts at its address after a time. */
async function replaceAfter(
  fleet: MeshFleet,
  milliseconds: number,
  options: Parameters<typeof startIncarnation>[1],
): Promise<Incarnation> {
  const [backend] = fleet.backends;
  await callForAWhile(fleet, 200);
  await backend!.crash();
  const [successor] = await Promise.all([
    delay(milliseconds).then(() => startIncarnation(backend!.address, options)),
    callForAWhile(fleet, milliseconds),
  ]);
  return successor;
}

const identifier = "successor";

[
  { name: "listed under its service", isListed: true },
  { name: "not listed yet", isListed: false },
].forEach(({ name, isListed }) =>
  // Guards against calls that are sent to whoever answers at the address, under
  // the identifier that it has just stated (review case 11).
  serialTest(
    `a backend server of another service that has the address of one that ended, ${name}, runs no call of the old service`,
    async (t) => {
      await withMeshFleet(
        { vms: 2, addressReuseMilliseconds },
        async (fleet) => {
          const foreignServer = await replaceAfter(
            fleet,
            addressReuseMilliseconds + 50,
            { identifier },
          );
          if (isListed) {
            publishSuccessor(fleet, { identifier, service: otherService });
          }
          await callForAWhile(fleet, observedMilliseconds);
          t.deepEqual(foreignServer.runs, []);
          await foreignServer.close();
        },
      );
    },
  )
);

// Guards against a node that takes whoever is at the address when it starts for
// its backend server.
serialTest(
  "a node that starts beside a backend server of another service sends it no call, while the register still lists the one that ended",
  async (t) => {
    await withMeshFleet({ vms: 1, addressReuseMilliseconds }, async (fleet) => {
      const foreignServer = await replaceAfter(
        fleet,
        addressReuseMilliseconds + 50,
        { identifier },
      );
      await fleet.restart(0);
      await callForAWhile(fleet, observedMilliseconds);
      t.deepEqual(foreignServer.runs, []);
      // Each of these rejections would cost a call one of its attempts.
      t.true(foreignServer.rejected.length <= 4);
      await foreignServer.close();
    });
  },
);

// Guards against a backend server that has to wait for the register, although no
// other service can have its address yet.
serialTest(
  "a backend server that comes back with a new identifier before its address may be used again serves before it is listed",
  async (t) => {
    await withMeshFleet({ vms: 1 }, async (fleet) => {
      const successor = await replaceAfter(fleet, 300, { identifier });
      await callForAWhile(fleet, observedMilliseconds);
      t.true(successor.runs.length > 0);
      t.log(
        `first run ${
          successor.firstRunAt! - successor.startedAt
        } ms after its start`,
      );
      await successor.close();
    });
  },
);

// Guards against a gate that stays closed for a backend server of its own
// service.
serialTest(
  "a backend server that comes back with a new identifier later serves as soon as it is listed",
  async (t) => {
    await withMeshFleet({ vms: 1, addressReuseMilliseconds }, async (fleet) => {
      const successor = await replaceAfter(
        fleet,
        addressReuseMilliseconds + 500,
        { identifier },
      );
      await callForAWhile(fleet, observedMilliseconds);
      t.deepEqual(successor.runs, []);
      const listedAt = Date.now();
      publishSuccessor(fleet, { identifier });
      await callForAWhile(fleet, observedMilliseconds);
      const { firstRunAt = Number.POSITIVE_INFINITY } = successor;
      t.true(firstRunAt - listedAt < 500);
      t.log(`first run ${firstRunAt - listedAt} ms after it was listed`);
      await successor.close();
    });
  },
);

// Guards against what another service's backend server states, such as a limit,
// a departure or a cold start, being taken for the own one's.
serialTest(
  "what a backend server of another service states does not hold for the one that comes back",
  async (t) => {
    await withMeshFleet({ vms: 1, addressReuseMilliseconds }, async (fleet) => {
      const foreignServer = await replaceAfter(
        fleet,
        addressReuseMilliseconds + 50,
        {
          identifier,
          healthHeaders: {
            "test-limit": "0",
            "test-leaving": "1",
            "test-cold": "60000",
          },
        },
      );
      await callForAWhile(fleet, observedMilliseconds);
      t.deepEqual(foreignServer.runs, []);
      await foreignServer.close();
      t.false(fleet.reports.some((line) => line.includes('"leaving":true')));
      t.false(
        fleet.reports.some((line) => line.includes('"callsPerSecondLimit":0')),
      );
      await fleet.backends[0]!.recover();
      // The cold start of the rules lasts for 500 ms.
      await callForAWhile(fleet, observedMilliseconds);
      const statuses = await callForAWhile(fleet, 400);
      t.true(statuses.every((status) => status === 200));
    });
  },
);
