import test from "ava";
import { CallKind } from "../routing/call_kind.ts";
import type { MeshCall } from "../testing/mesh/mesh_call.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import type { MeshResponse } from "../testing/mesh/mesh_response.ts";
import type { RawRequest } from "../testing/mesh/raw_request.ts";
import { replaceBackend } from "../testing/mesh/replace_backend.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { promisesNotRun } from "./promises_not_run.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

/** More than the buffers of a connection hold while its other end does not read. */
const uploadBytes = 8 * 1_048_576;
const remainingMilliseconds = 5_000;
const fleetOptions = {
  vms: 2,
  route: {
    kind: CallKind.NonIdempotent,
    timeoutMilliseconds: remainingMilliseconds,
  },
  limits: { bodyBytesMaximum: uploadBytes },
};

const requests = [
  { name: "a small request", body: "cake" },
  {
    name: "an upload that is still being written",
    body: "x".repeat(uploadBytes),
  },
].map((request) => ({ ...request, method: "POST", remainingMilliseconds }));
const answers = [
  { name: "an answer", body: "x".repeat(2_500), callCount: 40 },
  // Above the size up to which an answer is collected before it is sent.
  { name: "a long answer", body: "x".repeat(3 * 1_048_576), callCount: 10 },
];
/** The other backend server is gone, so its node offers its calls to this VM. */
const callers = [
  { name: "the same VM", index: 0 },
  { name: "another VM", index: 1 },
];

const success = `HTTP/1.1 200 OK\r\n${MeshHeader.Signature}: x\r\n`;
const rejection = `HTTP/1.1 503 X\r\n${MeshHeader.NotRun}: 1\r\n`;

/** Sends an answer whose body ends with its connection, then calls `end`. */
function sendAnswer(
  { socket }: RawRequest,
  answer: {
    readonly head: string;
    readonly call: string;
    readonly body: string;
    readonly end: () => void;
  },
): void {
  const { head, call, body, end } = answer;
  socket.write(`${head}${MeshHeader.Call}: ${call}\r\n\r\n${body}`, end);
}

async function callInTurn(
  fleet: MeshFleet,
  options: {
    readonly index: number;
    readonly call: MeshCall;
    readonly count: number;
  },
): Promise<readonly MeshResponse[]> {
  const responses: MeshResponse[] = [];
  // Sequential, since each upload holds the memory of its body.
  for (let sent = 0; sent < options.count; sent += 1) {
    responses.push(await fleet.call(options.index, options.call));
  }
  return responses;
}

requests.forEach(({ name, ...call }) =>
  answers.forEach(({ name: answer, body, callCount: count }) =>
    callers.forEach(({ name: caller, index }) => {
      serialTest(
        `${name} through the node of ${caller}: ${answer} without a length that is reset together with its last bytes does not look complete`,
        async (t) => {
          await withMeshFleet(fleetOptions, async (fleet) => {
            await fleet.backends[1]!.crash();
            const close = await replaceBackend(fleet, (call, request) => {
              const { socket } = request;
              socket.pause();
              const end = () => void socket.resetAndDestroy();
              sendAnswer(request, { head: success, call, body, end });
            });
            t.teardown(close);
            const responses = await callInTurn(fleet, { index, call, count });
            const successes = responses.filter(({ status, whole }) =>
              whole && status < 500
            );
            t.is(successes.length, 0);
            t.false(responses.some(({ status }) => promisesNotRun(status)));
          });
        },
      );

      serialTest(
        `${name} through the node of ${caller}: ${answer} without a length that ends with its connection is complete`,
        async (t) => {
          await withMeshFleet(fleetOptions, async (fleet) => {
            await fleet.backends[1]!.crash();
            const close = await replaceBackend(fleet, (call, request) => {
              // The rest of the request is read after the answer.
              const end = () => void request.socket.end();
              sendAnswer(request, { head: success, call, body, end });
            });
            t.teardown(close);
            const responses = await callInTurn(fleet, { index, call, count });
            const complete = responses.filter((response) =>
              response.whole && response.status === 200 &&
              response.body === body
            );
            t.is(complete.length, count);
          });
        },
      );
    })
  )
);

[
  { name: "is reset is not believed", isReset: true, status: 502 },
  { name: "ends regularly is believed", isReset: false, status: 503 },
].forEach(({ name, isReset, status }) =>
  serialTest(
    `a statement that a call has not run in an answer without a length that ${name}`,
    async (t) => {
      await withMeshFleet(fleetOptions, async (fleet) => {
        await fleet.backends[1]!.crash();
        const close = await replaceBackend(fleet, (call, request) => {
          const { socket } = request;
          const end = () =>
            void (isReset ? socket.resetAndDestroy() : socket.end());
          sendAnswer(request, { head: rejection, call, body: "full", end });
        });
        t.teardown(close);
        const [call] = requests;
        const responses = await callInTurn(fleet, {
          index: 0,
          call: call!,
          count: 10,
        });
        t.deepEqual(
          responses.map((response) => response.status),
          responses.map(() => status),
        );
      });
    },
  )
);
