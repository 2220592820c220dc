import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import type { MeshBackend } from "../testing/mesh/mesh_backend.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const crashingPath = "/cakes/crash";
/** Time until a crash, and until an answer to any other request. */
const workMilliseconds = 20;
/** Time until a backend server that has crashed is back. */
const recoveryMilliseconds = 300;
/** Time until a backend server that is back receives calls again. */
const settleMilliseconds = 800;
/** Crashes after which every node must know the request. */
const crashesMaximum = 3;
/** Further runs that the users allow. */
const furtherRunsMaximum = 3;

/** Makes every backend server crash while it runs the one request. */
function scriptCrashes(fleet: MeshFleet): void {
  fleet.backends.forEach((backend) => {
    backend.script = (request, response) => {
      if (request.url === crashingPath) {
        setTimeout(() => void crash(backend), workMilliseconds);
        return;
      }
      setTimeout(() => {
        if (!response.destroyed) sendCompleteAnswer(request, response);
      }, workMilliseconds);
    };
  });
}

async function crash(backend: MeshBackend): Promise<void> {
  await backend.crash();
  await delay(recoveryMilliseconds);
  await backend.recover();
}

function callCrashing(fleet: MeshFleet, round: number) {
  return fleet.call(round % fleet.daemons.length, {
    path: crashingPath,
    identifier: `crash-${round}`,
  });
}

function countCrashingRuns(fleet: MeshFleet): number {
  return fleet.backends.flatMap(({ runs }) => runs)
    .filter((identifier) => identifier.startsWith("crash-")).length;
}

/** Sends the request again and again, through each node in turn. */
async function repeatCrashing(
  fleet: MeshFleet,
  { rounds }: { readonly rounds: number },
): Promise<readonly number[]> {
  return await Array.from({ length: rounds }).reduce<
    Promise<readonly number[]>
  >(
    async (previous, _, round) => {
      const statuses = await previous;
      const { status } = await callCrashing(fleet, round);
      await delay(settleMilliseconds);
      return [...statuses, status];
    },
    Promise.resolve([]),
  );
}

// Guards against a request that ends one backend server after the other, each
// time it comes again at another node.
serialTest(
  "a request under which backend servers crash is refused by every node after the third crash",
  async (t) => {
    await withMeshFleet({ vms: 3 }, async (fleet) => {
      scriptCrashes(fleet);
      const statuses = await repeatCrashing(fleet, { rounds: 8 });
      t.true(
        countCrashingRuns(fleet) <= crashesMaximum + furtherRunsMaximum,
        `${countCrashingRuns(fleet)} runs`,
      );
      // Not run, and callers learn when to come back.
      t.is(statuses.at(-1), 503);
    });
  },
);

// Guards against a crash that is not seen, since the answer had begun.
serialTest(
  "a request under which backend servers crash in the middle of their answer is refused as well",
  async (t) => {
    await withMeshFleet({ vms: 3 }, async (fleet) => {
      fleet.backends.forEach((backend) => {
        backend.script = (request, response) => {
          response.writeHead(200, {
            [MeshHeader.Call]: request.headers[MeshHeader.Call]!.toString(),
            [MeshHeader.Signature]: "signed",
            "content-length": "100",
          });
          response.write("part");
          setTimeout(() => void crash(backend), workMilliseconds);
        };
      });
      await repeatCrashing(fleet, { rounds: 8 });
      t.true(
        countCrashingRuns(fleet) <= crashesMaximum + furtherRunsMaximum,
        `${countCrashingRuns(fleet)} runs`,
      );
    });
  },
);

// Guards against one crash after the other within one attempt of the caller.
serialTest(
  "copies of a crashing request at all nodes at once do not take away every backend server",
  async (t) => {
    await withMeshFleet({ vms: 4 }, async (fleet) => {
      scriptCrashes(fleet);
      await callCrashing(fleet, 0);
      await delay(settleMilliseconds);
      await Promise.all(
        Array.from({ length: 12 }, (_, round) => callCrashing(fleet, round)),
      );
      t.true(
        countCrashingRuns(fleet) <= crashesMaximum + 1,
        `${countCrashingRuns(fleet)} runs`,
      );
    });
  },
);

// Guards against the refusal of requests that ran beside a crashing one.
serialTest(
  "requests that ran at a backend server when another one crashed it are served",
  async (t) => {
    await withMeshFleet({ vms: 3, slots: 12 }, async (fleet) => {
      scriptCrashes(fleet);
      const callBystanders = () =>
        Promise.all(
          Array.from({ length: 12 }, (_, index) =>
            fleet.call(index % 3, { path: `/cakes/${index}` })),
        );
      const rounds = Array.from({ length: 5 });
      await rounds.reduce<Promise<unknown>>(
        async (previous, _, round) => {
          await previous;
          await Promise.all([callCrashing(fleet, round), callBystanders()]);
          await delay(settleMilliseconds);
        },
        Promise.resolve(),
      );
      await delay(settleMilliseconds);
      const statuses = (await callBystanders()).map(({ status }) => status);
      t.deepEqual(statuses, statuses.map(() => 200));
    });
  },
);

// Guards against the refusal of a request that many callers send, because it ran
// on backend servers that ended together for another reason.
serialTest(
  "a popular request that runs while all backend servers end at once is served when they are back",
  async (t) => {
    await withMeshFleet({ vms: 3 }, async (fleet) => {
      scriptCrashes(fleet);
      const callPopular = (vm: number) =>
        fleet.call(vm, { path: "/cakes/popular" });
      const callAll = () => Promise.all([0, 1, 2].map(callPopular));
      await callAll();
      const rounds = Array.from({ length: 4 });
      await rounds.reduce<Promise<unknown>>(
        async (previous) => {
          await previous;
          const calls = callAll();
          await delay(workMilliseconds / 2);
          await Promise.all([...fleet.backends.map(crash), calls]);
          await delay(settleMilliseconds);
        },
        Promise.resolve(),
      );
      t.deepEqual((await callAll()).map(({ status }) => status), [
        200,
        200,
        200,
      ]);
    });
  },
);

// Guards against a crashing request that is forgotten with a node, while the
// others know it.
serialTest(
  "a node that restarts refuses a crashing request that the others know, also while the source is down",
  async (t) => {
    await withMeshFleet({ vms: 3 }, async (fleet) => {
      scriptCrashes(fleet);
      await repeatCrashing(fleet, { rounds: 4 });
      const runsBefore = countCrashingRuns(fleet);
      await fleet.restart(0);
      await fleet.restart(1);
      fleet.source.setDown(true);
      await delay(settleMilliseconds);
      await repeatCrashing(fleet, { rounds: 3 });
      t.is(countCrashingRuns(fleet) - runsBefore, 0);
    });
  },
);
