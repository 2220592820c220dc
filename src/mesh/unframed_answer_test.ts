import test from "ava";
import { once } from "node:events";
import { type IncomingMessage, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { waitUntil } from "../testing/calls/wait_until.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

/** Above the size up to which an answer is collected before it is sent. */
const firstBytes = 2 * 1_048_576;
const remainingMilliseconds = 5_000;
const route = { timeoutMilliseconds: remainingMilliseconds };

/** Begins an answer without a length at the backend server; returns its connection. */
async function beginAnswer(fleet: MeshFleet) {
  let connection: Socket | undefined;
  fleet.backends[0]!.script = (request) => {
    connection = request.socket;
    const call = request.headers[MeshHeader.Call];
    request.socket.on("error", () => undefined);
    request.socket.write(
      `HTTP/1.1 200 OK\r\n${MeshHeader.Call}: ${call}\r\n${MeshHeader.Signature}: x\r\n\r\n`,
    );
    request.socket.write(Buffer.alloc(firstBytes));
  };
  const { host, port } = fleet.settings[0]!.listeners.callers;
  const request = sendRequest({
    agent: false,
    host,
    port,
    path: "/cakes/1",
    headers: {
      host: "shop.example",
      [MeshHeader.Call]: "look",
      [MeshHeader.Remaining]: String(remainingMilliseconds),
    },
  });
  request.on("error", () => undefined);
  request.end();
  const [response] = await once(request, "response") as [IncomingMessage];
  let bytes = 0;
  response.on("data", (part: Buffer) => {
    bytes += part.byteLength;
  });
  response.on("error", () => undefined);
  const isReceived = await waitUntil(() => bytes === firstBytes);
  return { response, isReceived, connection: connection! };
}

/** Resolves when the answer has ended, with whether it looks complete. */
function endsWhole(response: IncomingMessage): Promise<boolean> {
  return new Promise((resolve) => {
    response.once("close", () => resolve(response.complete));
  });
}

// Guards against an answer that looks complete although the node ended in the
// middle of it.
serialTest(
  "a long answer without a length that is cut by the end of the node does not look complete",
  async (t) => {
    const options = { vms: 1, route, stopMilliseconds: 900 };
    await withMeshFleet(options, async (fleet) => {
      const { response, isReceived } = await beginAnswer(fleet);
      t.true(isReceived);
      t.is(response.statusCode, 200);
      const whole = endsWhole(response);
      await fleet.daemons[0]!.stop();
      t.false(await whole);
    });
  },
);

serialTest(
  "a long answer without a length that the backend server resets does not look complete",
  async (t) => {
    await withMeshFleet({ vms: 1, route }, async (fleet) => {
      const { response, isReceived, connection } = await beginAnswer(fleet);
      t.true(isReceived);
      const whole = endsWhole(response);
      connection.resetAndDestroy();
      t.false(await whole);
    });
  },
);

serialTest(
  "a long answer without a length that ends with its connection is complete",
  async (t) => {
    await withMeshFleet({ vms: 1, route }, async (fleet) => {
      const { response, isReceived, connection } = await beginAnswer(fleet);
      t.true(isReceived);
      const whole = endsWhole(response);
      connection.end();
      t.true(await whole);
    });
  },
);
