import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import type { MeshBackend } from "../testing/mesh/mesh_backend.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const callCount = 20;
/** Time for a change of the register to reach every node. */
const publishMilliseconds = 1_000;

const stateLeaving: MeshBackend["script"] = (request, response) => {
  response.setHeader(MeshHeader.Leaving, "1");
  sendCompleteAnswer(request, response);
};

/**
 * Calls through a node until the backend server of VM 0 has answered one. The
 * others are taken out meanwhile.
 */
async function callUntilAnswered(
  fleet: MeshFleet,
  { through }: { readonly through: number },
): Promise<void> {
  const { Draining, Ready } = BackendServerAvailability;
  const others = fleet.backends.map((_, index) => index).slice(1);
  const publishOthers = (availability: BackendServerAvailability) =>
    others.forEach((index) => fleet.publishServer(index, { availability }));
  publishOthers(Draining);
  const isAnswered = await waitUntil(() => {
    if (fleet.backends[0]!.runs.includes("told")) return true;
    void fleet.call(through, { identifier: "told" });
    return false;
  });
  publishOthers(Ready);
  await delay(publishMilliseconds);
  if (!isAnswered) throw new Error("No call reached the backend server");
}

/** Sends calls through a node one after the other; returns how many VM 0 ran. */
async function countRunsOfCalls(
  fleet: MeshFleet,
  { through }: { readonly through: number },
): Promise<number> {
  const runsBefore = fleet.backends[0]!.runs.length;
  await Array.from({ length: callCount }).reduce<Promise<unknown>>(
    (previous) => previous.then(() => fleet.call(through)),
    Promise.resolve(),
  );
  return fleet.backends[0]!.runs.length - runsBefore;
}

// Guards against new work for a backend server that states its departure in its
// answers, while the register still lists it as ready.
serialTest(
  "a backend server that states that it is about to leave receives no new calls from any node",
  async (t) => {
    await withMeshFleet({ vms: 3 }, async (fleet) => {
      fleet.backends[0]!.script = stateLeaving;
      await callUntilAnswered(fleet, { through: 0 });
      t.is(await countRunsOfCalls(fleet, { through: 0 }), 0);
      t.is(await countRunsOfCalls(fleet, { through: 1 }), 0);
    });
  },
);

// Guards against a departure that is forgotten with the node beside the backend
// server, while another node has passed it on to its callers.
serialTest(
  "a node that has passed on a departure sends no call there after the node beside the backend server restarts",
  async (t) => {
    await withMeshFleet({ vms: 2 }, async (fleet) => {
      fleet.backends[0]!.script = stateLeaving;
      await callUntilAnswered(fleet, { through: 1 });
      fleet.backends[0]!.script = sendCompleteAnswer;
      await fleet.restart(0);
      t.is(await countRunsOfCalls(fleet, { through: 1 }), 0);
    });
  },
);

// Guards against a departure that outlasts its incarnation.
serialTest(
  "a backend server that has left and starts again under its identifier receives calls",
  async (t) => {
    await withMeshFleet({ vms: 2 }, async (fleet) => {
      const backend = fleet.backends[0]!;
      backend.script = stateLeaving;
      await callUntilAnswered(fleet, { through: 1 });
      backend.script = sendCompleteAnswer;
      await backend.crash();
      await backend.recover();
      fleet.publishServer(0, { bornAt: 2 });
      // Calls must not prefer a backend server in the zone of their node.
      fleet.publishServer(1, {
        availability: BackendServerAvailability.Draining,
      });
      await delay(publishMilliseconds);
      t.true(await countRunsOfCalls(fleet, { through: 0 }) > 0);
      t.true(await countRunsOfCalls(fleet, { through: 1 }) > 0);
    });
  },
);
