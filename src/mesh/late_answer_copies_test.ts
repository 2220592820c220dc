import test from "ava";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { CallKind } from "../routing/call_kind.ts";
import { countRuns } from "../testing/mesh/count_runs.ts";
import type { MeshBackendScript } from "../testing/mesh/mesh_backend_script.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { scriptAllBackends } from "../testing/mesh/script_all_backends.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const runMilliseconds = 30;

/**
 * Creates the behaviour of a backend server that answers the first attempt of
 * each call with `status` and runs the others. A second copy of the first answer
 * arrives where the answer to the next request on that connection is expected.
 */
function createCopyingScript(
  options: {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly run: MeshBackendScript;
  },
): MeshBackendScript {
  const copies = new WeakMap<Socket, string>();
  const answered = new Set<string>();

  function getHeaders(request: IncomingMessage): Record<string, string> {
    const call = request.headers[MeshHeader.Call]?.toString() ?? "";
    return { ...options.headers, [MeshHeader.Call]: call };
  }

  return (request, response) => {
    const { socket } = request;
    const copy = copies.get(socket);
    copies.delete(socket);
    if (copy !== undefined) socket.write(copy);
    const headers = getHeaders(request);
    const call = headers[MeshHeader.Call]!;
    if (answered.has(call)) {
      setTimeout(() => options.run(request, response), runMilliseconds);
      return;
    }
    answered.add(call);
    const lines = Object.entries(headers).map(([name, value]) =>
      `${name}: ${value}\r\n`
    );
    copies.set(
      socket,
      `HTTP/1.1 ${options.status} X\r\n${
        lines.join("")
      }content-length: 0\r\n\r\n`,
    );
    response.writeHead(options.status, { ...headers, "content-length": 0 })
      .end();
  };
}

// Guards against a refusal as not run of a call that ran: a late copy of the
// answer to its first attempt was taken for the answer to the second.
serialTest(
  "a late copy of a rejection is not taken for the answer to the next attempt of the same call",
  async (t) => {
    const route = { kind: CallKind.NonIdempotent, attemptsMaximum: 3 };
    await withMeshFleet({ vms: 1, route }, async (fleet) => {
      scriptAllBackends(
        fleet,
        createCopyingScript({
          status: 503,
          headers: { [MeshHeader.NotRun]: "1" },
          run: sendCompleteAnswer,
        }),
      );
      const answer = await fleet.call(0, {
        identifier: "order",
        method: "POST",
        body: "cake",
      });
      t.is(answer.status, 200);
      t.is(countRuns(fleet), 2);
    });
  },
);

// Guards against the failure of an attempt that was answered: the first attempt's
// failure arrived again in its place.
serialTest(
  "a late copy of a failure is not taken for the answer to the retry of an idempotent call",
  async (t) => {
    await withMeshFleet({ vms: 1 }, async (fleet) => {
      scriptAllBackends(
        fleet,
        createCopyingScript({
          status: 500,
          headers: { [MeshHeader.Signature]: "signed" },
          run: sendCompleteAnswer,
        }),
      );
      const first = await fleet.call(0, { identifier: "look" });
      const second = await fleet.call(0, { identifier: "look" });
      t.deepEqual([first.status, second.status], [500, 200]);
      t.is(second.body, "answer to look");
    });
  },
);
