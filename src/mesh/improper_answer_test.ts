import test from "ava";
import type { Socket } from "node:net";
import { CallKind } from "../routing/call_kind.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { replaceBackend } from "../testing/mesh/replace_backend.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const route = { kind: CallKind.NonIdempotent };
/** Between two parts of an answer, so that they arrive one by one. */
const partMilliseconds = 20;

/** The parts of an answer; each replaces the one of a proper answer. */
interface AnswerParts {
  readonly name: string;
  readonly version?: string;
  readonly status?: string;
  /** Header lines beside the identifier of the call and the signature. */
  readonly lines?: string;
  readonly body?: string;
}

const properAnswer = {
  version: "HTTP/1.1",
  status: "200",
  lines: "content-length: 4\r\n",
  body: "cake",
};
/** With it, a backend server promises that it has not run a call. */
const promiseLine = `${MeshHeader.NotRun}: 1\r\n`;

const statuses: readonly AnswerParts[] = ["000", "099", "600", "999"].map(
  (status) => ({ name: `the status ${status}`, status }),
);

const versions: readonly AnswerParts[] = [
  "HTTP/0.9",
  "HTTP/2.0",
  "RTSP/1.0",
  "RTSP/1.1",
  "ICE/1.1",
  "\r\nHTTP/1.1",
].map((version) => ({
  name: `the version ${JSON.stringify(version)}`,
  version,
}));

const fieldLines: readonly AnswerParts[] = [
  ["a blank in the name of a field", "x other: 1\r\n"],
  ["a blank after the name of a field", "x-other : 1\r\n"],
  ["a tab in the name of a field", "x\tother: 1\r\n"],
  ["a control byte in the name of a field", "x\x01other: 1\r\n"],
  ["a null byte in the name of a field", "x\0other: 1\r\n"],
  ["a delete byte in the name of a field", "x\x7fother: 1\r\n"],
  ["a carriage return in the name of a field", "x\rother: 1\r\n"],
  ["a byte above 127 in the name of a field", "x\xe9other: 1\r\n"],
  ["an empty name of a field", ": 1\r\n"],
  ["a line without a colon", "x-other\r\n"],
  ["a folded line", " x-other: 1\r\n"],
  ["a null byte in the value of a field", "x-other: a\0b\r\n"],
  ["a carriage return in the value of a field", "x-other: a\rb: 1\r\n"],
].map(([name, line]) => ({
  name: name!,
  lines: properAnswer.lines + line,
}));

/** A reader that takes the name for the one it resembles cuts the body. */
const framingLines: readonly AnswerParts[] = [
  ["a blank after the name of the length", "content-length : 2\r\n"],
  ["a blank in the name of the length", "content length: 2\r\n"],
  ["a control byte in the name of the length", "content\x01-length: 2\r\n"],
  ["a blank before the name of the length", " content-length: 2\r\n"],
  ["a blank after the name of the coding", "transfer-encoding : chunked\r\n"],
].map(([name, lines]) => ({ name: name!, lines: lines! }));

const chunkedBody = "4\r\ncake\r\n0\r\n\r\n";
const framings: readonly AnswerParts[] = [
  ...["gzip", "identity", "", "chunked, gzip", "xchunked"].map((coding) => ({
    name: `the transfer coding "${coding}"`,
    lines: `transfer-encoding: ${coding}\r\n`,
  })),
  ...["gzip, chunked", "chunked, chunked"].map((codings) => ({
    name: `the transfer codings "${codings}"`,
    lines: `transfer-encoding: ${codings}\r\n`,
    body: chunkedBody,
  })),
  {
    name: "two headers with the transfer coding chunked",
    lines: "transfer-encoding: chunked\r\n".repeat(2),
    body: chunkedBody,
  },
  {
    name: "chunks in version 1.0",
    version: "HTTP/1.0",
    lines: "transfer-encoding: chunked\r\n",
    body: chunkedBody,
  },
  {
    name: "a length and chunks",
    lines: "content-length: 4\r\ntransfer-encoding: chunked\r\n",
    body: chunkedBody,
  },
  {
    name: "chunks and a length",
    lines: "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
    body: chunkedBody,
  },
  {
    name: "the same length twice",
    lines: "content-length: 4\r\n".repeat(2),
  },
  {
    name: "two lengths",
    lines: "content-length: 4\r\ncontent-length: 3\r\n",
  },
  ...["4, 4", "+4", "0x4", "4 4", ""].map((length) => ({
    name: `the length "${length}"`,
    lines: `content-length: ${length}\r\n`,
  })),
];

const ends: readonly AnswerParts[] = [
  { name: "fewer bytes than its length", lines: "content-length: 5\r\n" },
  ...[
    ["no last chunk", "4\r\ncake\r\n"],
    ["a cut last chunk", "4\r\ncake\r\n0\r\n"],
    ["a wrong size of a chunk", "z\r\ncake\r\n0\r\n\r\n"],
    ["a wrong end of a chunk", "4\r\ncake0\r\n\r\n"],
    ["a blank in the name of a trailer", "4\r\ncake\r\n0\r\nx y: 1\r\n\r\n"],
  ].map(([name, body]) => ({
    name: name!,
    lines: "transfer-encoding: chunked\r\n",
    body: body!,
  })),
];

function createAnswer(call: string, answer: AnswerParts): Buffer {
  const { version, status, lines, body } = { ...properAnswer, ...answer };
  return Buffer.from(
    `${version} ${status} X\r\n${MeshHeader.Call}: ${call}\r\n${MeshHeader.Signature}: x\r\n${lines}\r\n${body}`,
    "latin1",
  );
}

function testRefusal(answer: AnswerParts): void {
  serialTest(
    `an answer with ${answer.name} is not passed on, and its call is not reported as not run`,
    async (t) => {
      await withMeshFleet({ vms: 2, route }, async (fleet) => {
        await fleet.backends[1]!.crash();
        const runs: string[] = [];
        let promise = "";
        const close = await replaceBackend(fleet, (call, { socket }) => {
          runs.push(call);
          const lines = promise + (answer.lines ?? properAnswer.lines);
          socket.end(createAnswer(call, { ...answer, lines }));
        });
        t.teardown(close);
        const responses = [await fleet.call(0), await fleet.call(1)];
        promise = promiseLine;
        responses.push(await fleet.call(0), await fleet.call(1));
        t.deepEqual(
          responses.map(({ status }) => status),
          [502, 502, 502, 502],
        );
        responses.forEach(({ body }) =>
          t.is(JSON.parse(body).outcome, "unknown")
        );
        t.is(runs.length, responses.length);
      });
    },
  );
}

[
  ...statuses,
  ...versions,
  ...fieldLines,
  ...framingLines,
  ...framings,
  ...ends,
].forEach(testRefusal);

const properAnswers: readonly AnswerParts[] = [
  { name: "version 1.0 and a length", version: "HTTP/1.0" },
  { name: "version 1.0 and no length", version: "HTTP/1.0", lines: "" },
  { name: "no length", lines: "" },
  {
    name: "chunks",
    lines: "Transfer-Encoding: Chunked\r\n",
    body: chunkedBody,
  },
  {
    name: "a blank and bytes above 127 in the value of a field",
    lines: `${properAnswer.lines}x-other: a \xe9\r\n`,
  },
  {
    name: "an interim answer before it",
    version: "HTTP/1.1 102 X\r\n\r\nHTTP/1.1",
  },
  { name: "the status 599", status: "599" },
];

properAnswers.forEach((answer) =>
  serialTest(`an answer with ${answer.name} is passed on`, async (t) => {
    await withMeshFleet({ vms: 2, route }, async (fleet) => {
      await fleet.backends[1]!.crash();
      const close = await replaceBackend(fleet, (call, { socket }) => {
        // In parts, since a head may arrive in more than one.
        const bytes = createAnswer(call, answer);
        socket.write(bytes.subarray(0, 3));
        setTimeout(() => socket.end(bytes.subarray(3)), partMilliseconds);
      });
      t.teardown(close);
      const responses = [await fleet.call(0), await fleet.call(1)];
      responses.forEach(({ status, body, whole }) => {
        t.is(status, Number(answer.status ?? properAnswer.status));
        t.is(body, properAnswer.body);
        t.true(whole);
      });
    });
  })
);

serialTest(
  "a statement that a call has not run is believed although other bytes follow its answer",
  async (t) => {
    await withMeshFleet({ vms: 1, route }, async (fleet) => {
      const close = await replaceBackend(fleet, (call, { socket }) => {
        const lines = promiseLine + properAnswer.lines;
        const bytes = createAnswer(call, { name: "", status: "503", lines });
        socket.end(Buffer.concat([bytes, Buffer.from("more")]));
      });
      t.teardown(close);
      t.is((await fleet.call(0)).status, 503);
    });
  },
);

serialTest(
  "an answer in another protocol is not passed on where an earlier one on its connection was",
  async (t) => {
    await withMeshFleet({ vms: 1, route }, async (fleet) => {
      const connections = new Set<Socket>();
      let version = properAnswer.version;
      const close = await replaceBackend(fleet, (call, { socket }) => {
        connections.add(socket);
        socket.write(createAnswer(call, { name: "", version }));
      });
      t.teardown(close);
      t.is((await fleet.call(0)).status, 200);
      version = "RTSP/1.0";
      t.is((await fleet.call(0)).status, 502);
      t.is(connections.size, 1);
    });
  },
);

serialTest(
  "an idempotent call whose answer has a status that is not defined is answered by another backend server",
  async (t) => {
    await withMeshFleet({ vms: 2 }, async (fleet) => {
      const runs: string[] = [];
      const close = await replaceBackend(fleet, (call, { socket }) => {
        runs.push(call);
        socket.end(createAnswer(call, { name: "", status: "000" }));
      });
      t.teardown(close);
      const { status, body } = await fleet.call(0, { identifier: "look" });
      t.is(status, 200);
      t.is(body, "answer to look");
      t.deepEqual(runs, ["look"]);
    });
  },
);
