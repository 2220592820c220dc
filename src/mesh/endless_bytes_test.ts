import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { CallKind } from "../routing/call_kind.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { measureRetainedBytes } from "../testing/mesh/measure_retained_bytes.ts";
import type { MeshBackend } from "../testing/mesh/mesh_backend.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import type { MeshResponse } from "../testing/mesh/mesh_response.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { sendEndlessBytes } from "../testing/mesh/send_endless_bytes.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import type { ReplyMessage } from "./reply_message.ts";
import type { EndlessBytes } from "../testing/mesh/endless_bytes.ts";
import { endlessBytesLimits } from "../testing/mesh/endless_bytes_limits.ts";
import { fillPart } from "../testing/mesh/fill_part.ts";
import { createEndlessHead } from "../testing/mesh/create_endless_head.ts";
import { measureOtherCalls } from "../testing/mesh/measure_other_calls.ts";
import { waitUntilClosed } from "../testing/mesh/wait_until_closed.ts";
import { createEndlessOfferText } from "../testing/mesh/create_endless_offer_text.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const {
  timeoutMilliseconds,
  lateMillisecondsMaximum,
  retainedBytesMaximum,
  otherCallMillisecondsMaximum,
  partBytes,
} = endlessBytesLimits;

/** Time in which the nodes read a change of the source. */
const changeMilliseconds = 600;
const slots = 2;

const chunked = "transfer-encoding: chunked\r\n\r\n";
const chunk = "400\r\n" + "x".repeat(1_024) + "\r\n";

const kinds: readonly EndlessBytes[] = [
  {
    name: "bytes that are not HTTP",
    getHead: () => "",
    part: fillPart("This is not HTTP "),
  },
  {
    name: "empty lines before the status line",
    getHead: () => "",
    part: fillPart("\r\n"),
  },
  {
    name: "a status line",
    getHead: () => "HTTP/1.1 200 ",
    part: fillPart("a"),
  },
  {
    name: "one header",
    getHead: (call) => createEndlessHead(call, "x-long: "),
    part: fillPart("a"),
  },
  {
    name: "spaces before the value of a header",
    getHead: (call) => createEndlessHead(call, "x-long: "),
    part: fillPart(" "),
  },
  {
    name: "headers",
    getHead: (call) => createEndlessHead(call),
    part: fillPart("x-more: 1\r\n"),
  },
  {
    name: "headers, slowly",
    getHead: (call) => createEndlessHead(call),
    part: "x-more: 1\r\n",
    intervalMilliseconds: 20,
  },
  {
    name: "interim responses 102",
    getHead: () => "",
    part: fillPart("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "interim responses 102, slowly",
    getHead: () => "",
    part: "HTTP/1.1 102 Processing\r\n\r\n",
    intervalMilliseconds: 20,
  },
  {
    name: "interim responses 100",
    getHead: () => "",
    part: fillPart("HTTP/1.1 100 Continue\r\n\r\n"),
  },
  {
    name: "a chunk extension",
    getHead: (call) => createEndlessHead(call, `${chunked}5;`),
    part: fillPart("a"),
  },
  {
    name: "a chunk size",
    getHead: (call) => createEndlessHead(call, chunked),
    part: fillPart("0"),
  },
  {
    name: "trailers",
    getHead: (call) => createEndlessHead(call, `${chunked}5\r\nhello\r\n0\r\n`),
    part: fillPart("x-more: 1\r\n"),
  },
  {
    name: "one trailer",
    getHead: (call) =>
      createEndlessHead(call, `${chunked}5\r\nhello\r\n0\r\nx-long: `),
    part: fillPart("a"),
  },
  {
    name: "a body without a length, slowly",
    getHead: (call) => createEndlessHead(call, "\r\n"),
    part: "x",
    intervalMilliseconds: 20,
  },
  {
    name: "a chunked body, slowly",
    getHead: (call) => createEndlessHead(call, chunked),
    part: "1\r\nx\r\n",
    intervalMilliseconds: 20,
  },
  {
    name: "a body longer than its length",
    getHead: (call) =>
      createEndlessHead(call, "content-length: 5\r\n\r\nhello"),
    part: fillPart("x"),
    body: "hello",
  },
  {
    name: "further answers after a complete one",
    getHead: (call) =>
      createEndlessHead(call, "content-length: 5\r\n\r\nhello"),
    part: fillPart(
      createEndlessHead("other", "content-length: 5\r\n\r\nother"),
    ),
    body: "hello",
  },
  {
    name: "interim responses after a complete answer",
    getHead: (call) =>
      createEndlessHead(call, "content-length: 5\r\n\r\nhello"),
    part: fillPart("HTTP/1.1 102 Processing\r\n\r\n"),
    body: "hello",
  },
  {
    name: "the body of an answer to another call",
    getHead: () => createEndlessHead("other", chunked),
    part: fillPart(chunk),
  },
  {
    name: "a chunked body",
    getHead: (call) => createEndlessHead(call, chunked),
    part: fillPart(chunk),
  },
  {
    name: "a body of a length that is not reached",
    getHead: (call) =>
      createEndlessHead(call, "content-length: 9007199254740991\r\n\r\n"),
    part: fillPart("x"),
  },
  {
    name: "a body without a length",
    getHead: (call) => createEndlessHead(call, "\r\n"),
    part: fillPart("x"),
  },
  {
    name: "the body of a failure",
    getHead: (call) => `HTTP/1.1 500 X\r\n${MeshHeader.Call}: ${call}\r\n\r\n`,
    part: fillPart("x"),
  },
  {
    name: "a body in chunks of one byte",
    getHead: (call) => createEndlessHead(call, chunked),
    part: fillPart("1\r\nx\r\n"),
  },
  {
    name: "the body of a statement that the call did not run",
    getHead: () => `HTTP/1.1 503 X\r\n${MeshHeader.NotRun}: 1\r\n\r\n`,
    part: fillPart("x"),
    notRun: true,
  },
  {
    name: "the body of an answer of another incarnation, slowly",
    getHead: () => `HTTP/1.1 421 X\r\n${chunked}`,
    part: "1\r\nx\r\n",
    intervalMilliseconds: 20,
    notRun: true,
  },
];

async function withFleet(
  kind: CallKind,
  run: (fleet: MeshFleet) => Promise<void>,
): Promise<void> {
  const fleet = await startMeshFleet({
    vms: 2,
    slots,
    route: { kind, timeoutMilliseconds },
  });
  try {
    // Only the first backend server is used: the first node sends to it, and
    // the second one offers to the first.
    fleet.publishServer(1, {
      availability: BackendServerAvailability.Draining,
    });
    await delay(changeMilliseconds);
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

/** Makes a backend server send endless bytes to calls named `endless`; returns the connections that it does so on. */
function sendEndlessly(
  backend: MeshBackend,
  { getHead, part, intervalMilliseconds }: EndlessBytes,
): readonly Socket[] {
  const sockets: Socket[] = [];
  backend.script = (request, response) => {
    const call = request.headers[MeshHeader.Call]?.toString() ?? "";
    if (!call.startsWith("endless")) {
      sendCompleteAnswer(request, response);
      return;
    }
    sockets.push(request.socket);
    sendEndlessBytes(request.socket, {
      head: getHead(call),
      part,
      intervalMilliseconds,
    });
  };
  return sockets;
}

/** Sends an endless call and other calls beside it, and measures them. */
async function sendEndlessCall(fleet: MeshFleet, vm: number) {
  let isDone = false;
  const startedAt = performance.now();
  const others = measureOtherCalls(fleet, () => isDone);
  const leaving = new AbortController();
  const answer = await Promise.race([
    fleet.call(vm, {
      identifier: `endless-${vm}`,
      method: "POST",
      keptBytesMaximum: partBytes,
      signal: leaving.signal,
    }),
    delay(4 * timeoutMilliseconds, undefined),
  ]);
  leaving.abort();
  const elapsed = performance.now() - startedAt;
  isDone = true;
  return { answer, elapsed, longestOther: await others };
}

function checkAnswer(
  t: ExecutionContext,
  { body, notRun = false }: EndlessBytes,
  answer: MeshResponse,
): void {
  const isSuccess = answer.status >= 200 && answer.status < 300;
  if (isSuccess && answer.whole) t.is(answer.body, body ?? "no whole success");
  if (body !== undefined) t.is(answer.status, 200);
  if (answer.status === 503) t.true(notRun);
  if (answer.status === 500) t.false(answer.whole);
  if (!isSuccess && answer.status !== 500) {
    t.notRegex(answer.body, /xxxx|hello/);
  }
}

[CallKind.Idempotent, CallKind.NonIdempotent].forEach((callKind) =>
  kinds.forEach((kind) =>
    serialTest(
      `${kind.name}, sent without end: the ${callKind} call ends by its timeout and does not look complete, its connection is closed, its slot released, and other calls are served`,
      async (t) => {
        await withFleet(callKind, async (fleet) => {
          const sockets = sendEndlessly(fleet.backends[0]!, kind);
          // Sequential, so that the two measurements do not disturb each other.
          for (const vm of [0, 1]) {
            const place = vm === 0 ? "own" : "other";
            const { value, retainedBytes, residentBytes } =
              await measureRetainedBytes(() => sendEndlessCall(fleet, vm));
            const { answer, elapsed, longestOther } = value;
            await waitUntilClosed(sockets);
            const sent = sockets.reduce(
              (sum, { bytesWritten }) => sum + bytesWritten,
              0,
            );
            t.log(
              `${place}: status ${answer?.status} in ${elapsed.toFixed()} ms, ` +
                `sent ${sent}, retained ${retainedBytes}, resident ${residentBytes}, ` +
                `other calls ${longestOther.toFixed()} ms`,
            );
            t.true(sockets.length > 0, `${place}: nothing was sent`);
            t.not(answer, undefined, `${place}: no end`);
            if (answer !== undefined) checkAnswer(t, kind, answer);
            t.true(
              elapsed < timeoutMilliseconds + lateMillisecondsMaximum,
              `${place}: ${elapsed} ms`,
            );
            t.true(
              sockets.every(({ destroyed }) => destroyed),
              `${place}: connection open`,
            );
            t.true(
              retainedBytes < retainedBytesMaximum,
              `${place}: ${retainedBytes} bytes retained`,
            );
            t.true(
              longestOther < otherCallMillisecondsMaximum,
              `${place}: another call took ${longestOther} ms`,
            );
            sockets.forEach((socket) => socket.destroy());
          }
          const after = await Promise.all(
            Array.from({ length: slots }, () => fleet.call(0)),
          );
          t.deepEqual(after.map(({ status }) => status), [200, 200]);
        });
      },
    )
  )
);

serialTest(
  "bytes sent without end on an idle connection do not last: the connection is closed",
  async (t) => {
    await withFleet(CallKind.Idempotent, async (fleet) => {
      const sockets: Socket[] = [];
      fleet.backends[0]!.script = (request, response) => {
        sockets.push(request.socket);
        sendCompleteAnswer(request, response);
      };
      t.is((await fleet.call(0)).status, 200);
      await delay(50);
      t.false(sockets[0]!.destroyed);
      sendEndlessBytes(sockets[0]!, { head: "", part: fillPart("x") });
      t.true(await waitUntil(() => sockets[0]!.destroyed));
      t.is((await fleet.call(0)).status, 200);
    });
  },
);

serialTest(
  "an endless answer to a caller who does not read: memory stays bounded, and the call ends by its timeout",
  async (t) => {
    await withFleet(CallKind.NonIdempotent, async (fleet) => {
      const sockets = sendEndlessly(fleet.backends[0]!, {
        name: "a chunked body",
        getHead: (call) => createEndlessHead(call, chunked),
        part: fillPart(chunk),
      });
      const { host, port } = fleet.settings[0]!.listeners.callers;
      const caller = connect(port, host);
      caller.on("error", () => undefined);
      caller.write(
        `POST /cakes/1 HTTP/1.1\r\nhost: shop.example\r\n${MeshHeader.Call}: endless\r\n` +
          "content-length: 0\r\n\r\n",
      );
      caller.pause();
      const { retainedBytes } = await measureRetainedBytes(async () => {
        await delay(timeoutMilliseconds + lateMillisecondsMaximum);
      });
      t.is(sockets.length, 1);
      t.true(sockets[0]!.destroyed);
      t.true(retainedBytes < retainedBytesMaximum, String(retainedBytes));
      caller.destroy();
    });
  },
);

const load = { running: 0, queued: 0, slots: 2, cold: false };

/** What another node sends without end in reply to an offer. */
const replies: readonly {
  readonly name: string;
  readonly head: string;
  readonly part: string;
}[] = [
  {
    name: "the body of a refusal",
    head: createReplyHead({
      kind: OfferOutcomeKind.Refused,
      reason: RefusalReason.Full,
      retryMilliseconds: 1,
      load,
    }),
    part: fillPart(chunk),
  },
  {
    name: "the body of a loss",
    head: createReplyHead({
      kind: OfferOutcomeKind.Lost,
      reason: RefusalReason.AnswerBroken,
      load,
    }),
    part: fillPart(chunk),
  },
  {
    name: "the body of an answer",
    head: createReplyHead({ kind: OfferOutcomeKind.Answered, load }),
    part: fillPart(chunk),
  },
  {
    name: "interim responses",
    head: "",
    part: fillPart("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "spaces of a header",
    head: "HTTP/1.1 200 OK\r\nx:",
    part: fillPart(" "),
  },
];

function createReplyHead(reply: ReplyMessage): string {
  return `HTTP/1.1 200 OK\r\n${OfferHeader.Reply}: ${
    JSON.stringify(reply)
  }\r\n${chunked}`;
}

/** Registers another node, which a test plays, as the only one to offer to. */
async function withOtherNode(
  fleet: MeshFleet,
  { listener, run }: {
    readonly listener: RequestListener;
    readonly run: () => Promise<void>;
  },
): Promise<void> {
  const host = "127.0.0.10";
  const server = createServer(listener);
  server.listen(fleet.settings[0]!.listeners.nodes.port, host);
  await once(server, "listening");
  fleet.publishServer(0, { availability: BackendServerAvailability.Draining });
  fleet.source.put("server/other", {
    kind: SourceValueKind.BackendServer,
    entry: createSampleEntry({
      identifier: "other",
      zone: "sul-c",
      address: { host, port: 1 },
    }),
  });
  await delay(changeMilliseconds);
  try {
    await run();
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

replies.forEach(({ name, head, part }) =>
  serialTest(
    `${name} of another node, sent without end: the call ends by its timeout and does not look complete, and the connection is closed`,
    async (t) => {
      await withFleet(CallKind.NonIdempotent, async (fleet) => {
        const sockets: Socket[] = [];
        const listener: RequestListener = (request) => {
          sockets.push(request.socket);
          sendEndlessBytes(request.socket, { head, part });
        };
        await withOtherNode(fleet, {
          listener,
          run: async () => {
            const { value: [answer, elapsed], retainedBytes } =
              await measureRetainedBytes(async () => {
                const startedAt = performance.now();
                const answer = await fleet.call(0, {
                  method: "POST",
                  keptBytesMaximum: partBytes,
                });
                return [answer, performance.now() - startedAt] as const;
              });
            await waitUntilClosed(sockets);
            t.log(`status ${answer.status} in ${elapsed.toFixed()} ms`);
            t.true(sockets.length > 0);
            t.false(answer.status === 200 && answer.whole);
            // A refusal without an end promises nothing.
            t.not(answer.status, 503);
            t.true(elapsed < timeoutMilliseconds + lateMillisecondsMaximum);
            t.true(sockets.every(({ destroyed }) => destroyed));
            t.true(retainedBytes < retainedBytesMaximum, String(retainedBytes));
          },
        });
      });
    },
  )
);

const callHead =
  `POST /cakes/1 HTTP/1.1\r\nhost: shop.example\r\n${MeshHeader.Call}: endless\r\n`;

serialTest(
  "an endless answer to another node that does not read and does not leave: the connection to the backend server is closed after the deadline, and the slot released",
  async (t) => {
    await withFleet(CallKind.NonIdempotent, async (fleet) => {
      const sockets = sendEndlessly(fleet.backends[0]!, {
        name: "a chunked body",
        getHead: (call) => createEndlessHead(call, chunked),
        part: fillPart(chunk),
      });
      const { host, port } = fleet.settings[0]!.listeners.nodes;
      const offering = connect(port, host);
      t.teardown(() => offering.destroy());
      offering.on("error", () => undefined);
      offering.pause();
      offering.write(
        `${callHead}${OfferHeader.Offer}: ${createEndlessOfferText()}\r\ncontent-length: 0\r\n\r\n`,
      );
      await delay(timeoutMilliseconds + lateMillisecondsMaximum);
      t.is(sockets.length, 1);
      t.true(sockets[0]!.destroyed);
      const after = await Promise.all(
        Array.from({ length: slots }, () => fleet.call(0)),
      );
      t.deepEqual(after.map(({ status }) => status), [200, 200]);
    });
  },
);
