import test from "ava";
import type { Socket } from "node:net";
import { waitUntil } from "../testing/calls/wait_until.ts";
import type { MeshBackendScript } from "../testing/mesh/mesh_backend_script.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { scriptAllBackends } from "../testing/mesh/script_all_backends.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

/**
 * Creates the script of a backend server that never responds to certain calls,
 * nor to any further request on the connection of such a call.
 */
function createSilentScript(
  isSilent: (callIdentifier: string) => boolean,
): MeshBackendScript {
  const silentConnections = new WeakSet<Socket>();
  return (request, response) => {
    const call = request.headers[MeshHeader.Call]?.toString() ?? "";
    if (isSilent(call)) silentConnections.add(request.socket);
    if (silentConnections.has(request.socket)) return;
    sendCompleteAnswer(request, response);
  };
}

// Guards against calls on a connection on which the backend server answers
// nothing more, and against slots that such calls occupy for ever.
serialTest(
  "after calls that a backend server never answers, its slots and new connections serve others",
  async (t) => {
    await withMeshFleet({ vms: 1, slots: 2 }, async (fleet) => {
      scriptAllBackends(
        fleet,
        createSilentScript((call) => call.startsWith("hung")),
      );
      const warm = await fleet.call(0, { identifier: "warm" });
      t.is(warm.status, 200);
      const hung = await Promise.all(
        ["hung-1", "hung-2"].map((identifier) =>
          fleet.call(0, { identifier, remainingMilliseconds: 300 })
        ),
      );
      t.deepEqual(hung.map(({ status }) => status), [504, 504]);
      const others = await Promise.all(
        ["a", "b", "c", "d"].map((identifier) =>
          fleet.call(0, { identifier, remainingMilliseconds: 1_000 })
        ),
      );
      t.deepEqual(others.map(({ status }) => status), [200, 200, 200, 200]);
    });
  },
);

// Guards against a node that takes a backend server that is busy for one that is
// down, and against waiting for the first probe for ever.
serialTest(
  "a probe that gets no answer is repeated on a new connection, and calls are served meanwhile",
  async (t) => {
    await withMeshFleet({ vms: 1 }, async (fleet) => {
      const backend = fleet.backends[0]!;
      const answeredBefore = backend.probeConnections.size;
      backend.probeScript = () => undefined;
      t.true(
        await waitUntil(() =>
          backend.probeConnections.size >= answeredBefore + 2
        ),
      );
      t.is((await fleet.call(0, { identifier: "meanwhile" })).status, 200);
    });
  },
);
