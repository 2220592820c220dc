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

const callsPerSecondLimit = 5;
/** Calls that the users let pass before every node must have learnt the limit. */
const learnMilliseconds = 500;
const callIntervalMilliseconds = 20;
const trafficMilliseconds = 4_500;
/**
 * The most calls that a backend server may receive in 4 s; the traffic lasts no
 * longer after `learnMilliseconds`.
 */
const callsMaximum = callsPerSecondLimit * 1.5 * 4 + 5;

const stateLimit: MeshBackend["script"] = (request, response) => {
  response.setHeader(MeshHeader.Limit, String(callsPerSecondLimit));
  sendCompleteAnswer(request, response);
};

/** Sends calls through every node in turn until the traffic ends. */
async function sendTraffic(fleet: MeshFleet): Promise<void> {
  const count = trafficMilliseconds / callIntervalMilliseconds;
  const calls = Array.from({ length: count }, async (_, index) => {
    const vm = index % fleet.daemons.length;
    await delay(index * callIntervalMilliseconds);
    return await fleet.call(vm, { identifier: `vm-${vm}-${index}` });
  });
  await Promise.all(calls);
}

// Guards against more calls, summed over all nodes, than a backend server states
// that it takes.
serialTest(
  "a backend server that states a limit receives no more calls from all nodes together",
  async (t) => {
    await withMeshFleet({ vms: 3 }, async (fleet) => {
      const limited = fleet.backends[0]!;
      limited.script = stateLimit;
      const traffic = sendTraffic(fleet);
      await delay(learnMilliseconds);
      const runsBefore = limited.runs.length;
      await traffic;
      const runs = limited.runs.length - runsBefore;
      t.true(runs > 0 && runs <= callsMaximum, `${runs} calls`);
    });
  },
);

// Guards against a limit that is forgotten with the node that enforces it, while
// another node has passed it on to its callers.
serialTest(
  "a limit still holds after the node beside the backend server restarts",
  async (t) => {
    const calls = 30;
    await withMeshFleet({ vms: 2, slots: calls }, async (fleet) => {
      const limited = fleet.backends[0]!;
      limited.script = stateLimit;
      fleet.publishServer(1, {
        availability: BackendServerAvailability.Draining,
      });
      await waitUntil(() => {
        if (limited.runs.includes("told")) return true;
        void fleet.call(1, { identifier: "told" });
        return false;
      });
      await fleet.restart(0);
      // Without an answer, a restarted node cannot learn the limit by itself.
      limited.script = () => undefined;
      const runsBefore = limited.runs.length;
      await Promise.all(Array.from({ length: calls }, () => fleet.call(1)));
      const runs = limited.runs.length - runsBefore;
      t.true(
        runs > 0 && runs <= callsPerSecondLimit * 1.5 + 5,
        `${runs} calls`,
      );
    });
  },
);
