import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { CallKind } from "../routing/call_kind.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createMonotonicClock } from "../runtime/create_monotonic_clock.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { createSystemTimers } from "../runtime/create_system_timers.ts";
import { encodeFeedLine } from "../source/encode_feed_line.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { measureRetainedBytes } from "../testing/mesh/measure_retained_bytes.ts";
import type { MeshBackend } from "../testing/mesh/mesh_backend.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import type { MeshResponse } from "../testing/mesh/mesh_response.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { sendEndlessBytes } from "../testing/mesh/send_endless_bytes.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { testDialect } from "../testing/mesh/test_dialect.ts";
import { createMeshNode } from "./create_mesh_node.ts";
import { encodeOffer } from "./encode_offer.ts";
import { followFeed } from "./follow_feed.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import type { ReplyMessage } from "./reply_message.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const timeoutMilliseconds = 500;
/** The operators allow half a second after the timeout of a route. */
const lateMillisecondsMaximum = 500;
/** Time after the end of a call until its connection must be closed. */
const closeMillisecondsMaximum = 1_000;
/** An answer of up to 1 MiB is held; the rest is for both ends of each connection. */
const retainedBytesMaximum = 16 * 1_048_576;
/** The deadline of the callers of the other calls. */
const otherCallMillisecondsMaximum = 2_000;
/** Time in which the nodes read a change of the source. */
const changeMilliseconds = 600;
const slots = 2;
const partBytes = 65_536;

/** What a backend server sends without end. */
interface EndlessBytes {
  readonly name: string;
  readonly getHead: (call: string) => string;
  readonly part: string;
  readonly intervalMilliseconds?: number;
  /** The complete body that precedes the endless bytes, if there is one. */
  readonly body?: string;
  /** Whether the head states that the call did not run. */
  readonly notRun?: boolean;
}

function fill(text: string): string {
  return text.repeat(Math.ceil(partBytes / text.length));
}

function createHead(call: string, lines = ""): string {
  return `HTTP/1.1 200 OK\r\n${MeshHeader.Call}: ${call}\r\n${MeshHeader.Signature}: x\r\n${lines}`;
}

const chunked = "transfer-encoding: chunked\r\n\r\n";
const chunk = "400\r\n" + "x".repeat(1_024) + "\r\n";

const kinds: readonly EndlessBytes[] = [
  {
    name: "bytes that are not HTTP",
    getHead: () => "",
    part: fill("This is not HTTP "),
  },
  {
    name: "empty lines before the status line",
    getHead: () => "",
    part: fill("\r\n"),
  },
  {
    name: "a status line",
    getHead: () => "HTTP/1.1 200 ",
    part: fill("a"),
  },
  {
    name: "one header",
    getHead: (call) => createHead(call, "x-long: "),
    part: fill("a"),
  },
  {
    name: "spaces before the value of a header",
    getHead: (call) => createHead(call, "x-long: "),
    part: fill(" "),
  },
  {
    name: "headers",
    getHead: (call) => createHead(call),
    part: fill("x-more: 1\r\n"),
  },
  {
    name: "headers, slowly",
    getHead: (call) => createHead(call),
    part: "x-more: 1\r\n",
    intervalMilliseconds: 20,
  },
  {
    name: "interim responses 102",
    getHead: () => "",
    part: fill("HTTP/1.1 102 Processing\r\n\r\n"),
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
    part: fill("HTTP/1.1 100 Continue\r\n\r\n"),
  },
  {
    name: "a chunk extension",
    getHead: (call) => createHead(call, `${chunked}5;`),
    part: fill("a"),
  },
  {
    name: "a chunk size",
    getHead: (call) => createHead(call, chunked),
    part: fill("0"),
  },
  {
    name: "trailers",
    getHead: (call) => createHead(call, `${chunked}5\r\nhello\r\n0\r\n`),
    part: fill("x-more: 1\r\n"),
  },
  {
    name: "one trailer",
    getHead: (call) =>
      createHead(call, `${chunked}5\r\nhello\r\n0\r\nx-long: `),
    part: fill("a"),
  },
  {
    name: "a body without a length, slowly",
    getHead: (call) => createHead(call, "\r\n"),
    part: "x",
    intervalMilliseconds: 20,
  },
  {
    name: "a chunked body, slowly",
    getHead: (call) => createHead(call, chunked),
    part: "1\r\nx\r\n",
    intervalMilliseconds: 20,
  },
  {
    name: "a body longer than its length",
    getHead: (call) => createHead(call, "content-length: 5\r\n\r\nhello"),
    part: fill("x"),
    body: "hello",
  },
  {
    name: "further answers after a complete one",
    getHead: (call) => createHead(call, "content-length: 5\r\n\r\nhello"),
    part: fill(createHead("other", "content-length: 5\r\n\r\nother")),
    body: "hello",
  },
  {
    name: "interim responses after a complete answer",
    getHead: (call) => createHead(call, "content-length: 5\r\n\r\nhello"),
    part: fill("HTTP/1.1 102 Processing\r\n\r\n"),
    body: "hello",
  },
  {
    name: "the body of an answer to another call",
    getHead: () => createHead("other", chunked),
    part: fill(chunk),
  },
  {
    name: "a chunked body",
    getHead: (call) => createHead(call, chunked),
    part: fill(chunk),
  },
  {
    name: "a body of a length that is not reached",
    getHead: (call) =>
      createHead(call, "content-length: 9007199254740991\r\n\r\n"),
    part: fill("x"),
  },
  {
    name: "a body without a length",
    getHead: (call) => createHead(call, "\r\n"),
    part: fill("x"),
  },
  {
    name: "the body of a failure",
    getHead: (call) => `HTTP/1.1 500 X\r\n${MeshHeader.Call}: ${call}\r\n\r\n`,
    part: fill("x"),
  },
  {
    name: "a body in chunks of one byte",
    getHead: (call) => createHead(call, chunked),
    part: fill("1\r\nx\r\n"),
  },
  {
    name: "the body of a statement that the call did not run",
    getHead: () => `HTTP/1.1 503 X\r\n${MeshHeader.NotRun}: 1\r\n\r\n`,
    part: fill("x"),
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
      ...(intervalMilliseconds === undefined ? {} : { intervalMilliseconds }),
    });
  };
  return sockets;
}

/** Sends other calls one after the other until `isDone`; resolves with the longest time, or infinity if one of them failed. */
async function measureOtherCalls(
  fleet: MeshFleet,
  isDone: () => boolean,
): Promise<number> {
  let longest = 0;
  // Sequential, until the endless call has ended.
  while (!isDone()) {
    const startedAt = performance.now();
    const { status } = await fleet.call(0, { identifier: "other" });
    longest = Math.max(
      longest,
      status === 200 ? performance.now() - startedAt : Number.POSITIVE_INFINITY,
    );
    await delay(20);
  }
  return longest;
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

async function waitUntilClosed(sockets: readonly Socket[]): Promise<void> {
  await Promise.race([
    waitUntil(() => sockets.every(({ destroyed }) => destroyed)),
    delay(closeMillisecondsMaximum),
  ]);
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
      sendEndlessBytes(sockets[0]!, { head: "", part: fill("x") });
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
        getHead: (call) => createHead(call, chunked),
        part: fill(chunk),
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

serialTest(
  "request bodies in chunks of one byte: memory stays bounded by their size",
  async (t) => {
    await withFleet(CallKind.Idempotent, async (fleet) => {
      const { host, port } = fleet.settings[0]!.listeners.callers;
      const text = "1\r\nx\r\n".repeat(60_000);
      const callers = Array.from({ length: 20 }, () => {
        const caller = connect(port, host);
        caller.on("error", () => undefined);
        caller.resume();
        return caller;
      });
      const { retainedBytes } = await measureRetainedBytes(async () => {
        callers.forEach((caller) =>
          caller.write(
            `POST /cakes/1 HTTP/1.1\r\nhost: shop.example\r\n${chunked}${text}`,
          )
        );
        await delay(timeoutMilliseconds);
      });
      t.true(retainedBytes < retainedBytesMaximum, String(retainedBytes));
      callers.forEach((caller) => caller.destroy());
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
    part: fill(chunk),
  },
  {
    name: "the body of a loss",
    head: createReplyHead({
      kind: OfferOutcomeKind.Lost,
      reason: RefusalReason.AnswerBroken,
      load,
    }),
    part: fill(chunk),
  },
  {
    name: "the body of an answer",
    head: createReplyHead({ kind: OfferOutcomeKind.Answered, load }),
    part: fill(chunk),
  },
  {
    name: "interim responses",
    head: "",
    part: fill("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "spaces of a header",
    head: "HTTP/1.1 200 OK\r\nx:",
    part: fill(" "),
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
            t.is(
              answer.status === 503,
              head.includes(OfferOutcomeKind.Refused),
            );
            t.true(elapsed < timeoutMilliseconds + lateMillisecondsMaximum);
            t.true(sockets.every(({ destroyed }) => destroyed));
            t.true(retainedBytes < retainedBytesMaximum, String(retainedBytes));
          },
        });
      });
    },
  )
);

/** A probe ends within 2 s; half a second more for a busy machine. */
const probeMillisecondsMaximum = 2_500;
/** The limit of a probe, and what the buffers of both sockets may hold. */
const probeBytesMaximum = 4 * 1_048_576;

const probeAnswers: readonly Omit<EndlessBytes, "notRun">[] = [
  { name: "bytes that are not HTTP", getHead: () => "", part: fill("x") },
  {
    name: "headers",
    getHead: () => createHead("probe"),
    part: fill("x-more: 1\r\n"),
  },
  {
    name: "spaces of a header",
    getHead: () => createHead("probe", "x:"),
    part: fill(" "),
  },
  {
    name: "interim responses",
    getHead: () => "",
    part: fill("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "interim responses, slowly",
    getHead: () => "",
    part: "HTTP/1.1 102 Processing\r\n\r\n",
    intervalMilliseconds: 20,
  },
  {
    name: "a body without a length",
    getHead: () => createHead("probe", "\r\n"),
    part: fill("x"),
  },
  {
    name: "a body without a length, slowly",
    getHead: () => createHead("probe", "\r\n"),
    part: "x",
    intervalMilliseconds: 20,
  },
  {
    name: "a chunked body",
    getHead: () => createHead("probe", chunked),
    part: fill(chunk),
  },
  {
    name: "a body longer than its length",
    getHead: () => createHead("probe", "content-length: 1\r\n\r\n"),
    part: fill("x"),
  },
];

probeAnswers.forEach(({ name, getHead, part, intervalMilliseconds }) =>
  serialTest(
    `${name}, sent without end to a health probe: its connection is bounded in time and bytes, calls are served, and the next probe works`,
    async (t) => {
      const fleet = await startMeshFleet({ vms: 1 });
      t.teardown(() => fleet.close());
      const [backend] = fleet.backends;
      const sockets: Socket[] = [];
      const durations: number[] = [];
      let healthyProbes = 0;
      backend!.probeScript = (request, response) => {
        if (sockets.length > 0) {
          healthyProbes += 1;
          response.end();
          return;
        }
        const startedAt = performance.now();
        sockets.push(request.socket);
        request.socket.once(
          "close",
          () => durations.push(performance.now() - startedAt),
        );
        sendEndlessBytes(request.socket, {
          head: getHead(""),
          part,
          ...(intervalMilliseconds === undefined
            ? {}
            : { intervalMilliseconds }),
        });
      };
      const { value: longestOther, retainedBytes } = await measureRetainedBytes(
        async () => {
          let isDone = false;
          const others = measureOtherCalls(fleet, () => isDone);
          await waitUntil(() => sockets.length > 0);
          await waitUntil(() => durations.length > 0);
          isDone = true;
          return await others;
        },
      );
      const [socket] = sockets;
      t.log(`${durations[0]} ms, ${socket?.bytesWritten} bytes`);
      t.true((durations[0] ?? Infinity) < probeMillisecondsMaximum);
      t.true(
        (socket?.bytesWritten ?? Infinity) < probeBytesMaximum,
        String(socket?.bytesWritten),
      );
      t.true(retainedBytes < retainedBytesMaximum, String(retainedBytes));
      t.true(
        longestOther < otherCallMillisecondsMaximum,
        String(longestOther),
      );
      t.true(await waitUntil(() => healthyProbes > 0));
    },
  )
);

/** A feed is given up after 1.4 s without a line; the rest is for a busy machine. */
const feedMillisecondsMaximum = 2_500;
/** A line of up to 8 MiB is held, and copied once. */
const feedRetainedBytesMaximum = 32 * 1_048_576;

const feedAnswers: readonly Omit<EndlessBytes, "body" | "notRun">[] = [
  {
    name: "a line",
    getHead: () => createHead("feed", "\r\n"),
    part: fill("x"),
  },
  {
    name: "a line in chunks of one byte",
    getHead: () => createHead("feed", chunked),
    part: fill("1\r\nx\r\n"),
  },
  {
    name: "a line, slowly",
    getHead: () => createHead("feed", "\r\n"),
    part: "x",
    intervalMilliseconds: 20,
  },
  {
    name: "a second line",
    getHead: () =>
      createHead("feed", `\r\n${encodeFeedLine(createSampleLine())}`),
    part: fill("x"),
  },
  {
    name: "empty lines",
    getHead: () => createHead("feed", "\r\n"),
    part: fill("\n"),
  },
  {
    name: "spaces of a header",
    getHead: () => createHead("feed", "x:"),
    part: fill(" "),
  },
  {
    name: "interim responses",
    getHead: () => "",
    part: fill("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "a refusal",
    getHead: () => "HTTP/1.1 503 X\r\n\r\n",
    part: fill("x"),
  },
];

feedAnswers.forEach(({ name, getHead, part, intervalMilliseconds }) =>
  serialTest(
    `${name} sent without end to a node that follows the feed: it gives up in time, closes the connection, and its memory stays bounded`,
    async (t) => {
      const fleet = await startMeshFleet({ vms: 1 });
      t.teardown(() => fleet.close());
      const sockets: Socket[] = [];
      const server = createServer((request) => {
        sockets.push(request.socket);
        sendEndlessBytes(request.socket, {
          head: getHead(""),
          part,
          ...(intervalMilliseconds === undefined
            ? {}
            : { intervalMilliseconds }),
        });
      }).listen(0, "127.0.0.10");
      await once(server, "listening");
      t.teardown(() => {
        server.closeAllConnections();
        server.close();
      });
      const clock = createMonotonicClock();
      const node = createMeshNode(fleet.settings[0]!, {
        dialect: testDialect,
        clock,
        timers: createSystemTimers(clock),
        random: createRandomSource(1),
        report: {
          call: () => undefined,
          viewChange: () => undefined,
          state: () => undefined,
        },
      });
      const { value: elapsed, retainedBytes } = await measureRetainedBytes(
        async () => {
          const startedAt = performance.now();
          await Promise.race([
            followFeed(node, {
              host: "127.0.0.10",
              port: (server.address() as AddressInfo).port,
            }, {
              after: { era: 0, revision: 0 },
              age: { confirmedAt: clock.now(), minimumClockOffset: Infinity },
              onLine: () => undefined,
              signal: new AbortController().signal,
            }),
            delay(2 * feedMillisecondsMaximum),
          ]);
          return performance.now() - startedAt;
        },
      );
      await waitUntilClosed(sockets);
      t.log(
        `${elapsed.toFixed()} ms, sent ${
          sockets[0]?.bytesWritten
        }, retained ${retainedBytes}`,
      );
      t.is(sockets.length, 1);
      t.true(elapsed < feedMillisecondsMaximum, String(elapsed));
      t.true(sockets[0]!.destroyed);
      t.true(retainedBytes < feedRetainedBytesMaximum, String(retainedBytes));
    },
  )
);

/** A head has to arrive within 3 s, which is checked every second; the rest is for a busy machine. */
const senderMillisecondsMaximum = 5_000;
/** A refusal is sent at once, or when the call has timed out. */
const refusalMillisecondsMaximum = timeoutMilliseconds +
  lateMillisecondsMaximum;

const callHead =
  `POST /cakes/1 HTTP/1.1\r\nhost: shop.example\r\n${MeshHeader.Call}: endless\r\n`;
const unknownPathHead = "POST /bread HTTP/1.1\r\nhost: shop.example\r\n";

/** What a caller or another node sends without end. */
interface EndlessRequest {
  readonly name: string;
  readonly listener?: "callers" | "nodes" | "readiness";
  readonly head: string;
  readonly part: string;
  readonly intervalMilliseconds?: number;
  /** Statuses that the sender may get; none if there was no request to answer. */
  readonly statuses: readonly number[];
}

const slowBody = { part: "1\r\nx\r\n", intervalMilliseconds: 20 };
const fastBody = { part: fill(chunk) };

const endlessRequests: readonly EndlessRequest[] = [
  {
    name: "a chunked body",
    head: callHead + chunked,
    ...fastBody,
    statuses: [413],
  },
  {
    name: "a chunked body, slowly",
    head: callHead + chunked,
    ...slowBody,
    statuses: [503],
  },
  {
    name: "a body of a length that is not reached",
    head: `${callHead}content-length: 9007199254740991\r\n\r\n`,
    part: fill("x"),
    statuses: [413],
  },
  {
    name: "a body of a length that is not reached, slowly",
    head: `${callHead}content-length: 9007199254740991\r\n\r\n`,
    part: "x",
    intervalMilliseconds: 20,
    statuses: [413, 503],
  },
  {
    name: "a chunk size",
    head: callHead + chunked,
    part: fill("0"),
    statuses: [400, 503],
  },
  {
    name: "a chunk extension",
    head: `${callHead}${chunked}5;`,
    part: fill("a"),
    statuses: [400, 413],
  },
  {
    name: "trailers",
    head: `${callHead}${chunked}0\r\n`,
    part: fill("x-more: 1\r\n"),
    statuses: [431],
  },
  {
    name: "the body of a request to an unknown path",
    head: unknownPathHead + chunked,
    ...fastBody,
    statuses: [404],
  },
  {
    name: "the body of a request to an unknown path, slowly",
    head: unknownPathHead + chunked,
    ...slowBody,
    statuses: [404],
  },
  {
    name: "a request line",
    head: "GET /",
    part: fill("a"),
    statuses: [431],
  },
  {
    name: "headers",
    head: callHead,
    part: fill("x-more: 1\r\n"),
    statuses: [431],
  },
  {
    name: "headers, slowly",
    head: callHead,
    part: "x-more: 1\r\n",
    intervalMilliseconds: 20,
    statuses: [408],
  },
  {
    name: "spaces of a header",
    head: `${callHead}x:`,
    part: fill(" "),
    statuses: [408],
  },
  {
    name: "empty lines before a request",
    head: "",
    part: fill("\r\n"),
    statuses: [408],
  },
  {
    name: "bytes after a request",
    head: `${unknownPathHead}content-length: 0\r\n\r\n`,
    part: fill("x"),
    statuses: [404],
  },
  {
    name: "the body of an offer",
    listener: "nodes",
    head: `${callHead}${OfferHeader.Offer}: OFFER\r\n${chunked}`,
    ...fastBody,
    statuses: [503],
  },
  {
    name: "the body of an offer, slowly",
    listener: "nodes",
    head: `${callHead}${OfferHeader.Offer}: OFFER\r\n${chunked}`,
    ...slowBody,
    statuses: [503],
  },
  {
    name: "the body of an invalid offer",
    listener: "nodes",
    head: `${callHead}${OfferHeader.Offer}: {}\r\n${chunked}`,
    ...fastBody,
    statuses: [400],
  },
  {
    name: "the body of an invalid request for the feed",
    listener: "nodes",
    head: `${callHead}${OfferHeader.Feed}: x\r\n${chunked}`,
    ...fastBody,
    statuses: [400],
  },
  {
    name: "the body of a question for readiness",
    listener: "readiness",
    head: callHead + chunked,
    ...fastBody,
    statuses: [200],
  },
];

function createOfferText(): string {
  const now = Date.now();
  const deadline = now + timeoutMilliseconds;
  return encodeOffer({
    ...createSampleOffer("endless", { now }),
    idempotent: false,
    deadline,
    goalDeadline: deadline,
    waitDeadline: deadline,
  }, now);
}

/** Sends a request without end; resolves when its connection is closed, or after the longest time that it may take. */
async function sendEndlessRequest(
  fleet: MeshFleet,
  request: EndlessRequest,
) {
  const { listener = "callers", head, part, intervalMilliseconds } = request;
  const { host, port } = fleet.settings[0]!.listeners[listener];
  const socket = connect(port, host);
  const startedAt = performance.now();
  let text = "";
  let answeredAt = Number.POSITIVE_INFINITY;
  socket.on("data", (bytes) => {
    answeredAt = Math.min(answeredAt, performance.now());
    text += bytes.toString("latin1");
  });
  sendEndlessBytes(socket, {
    head: head.replace("OFFER", createOfferText()),
    part,
    ...(intervalMilliseconds === undefined ? {} : { intervalMilliseconds }),
  });
  await Promise.race([
    new Promise((resolve) => socket.once("close", resolve)),
    delay(senderMillisecondsMaximum),
  ]);
  const isClosed = socket.destroyed;
  socket.destroy();
  return {
    isClosed,
    elapsed: performance.now() - startedAt,
    answerMilliseconds: answeredAt - startedAt,
    statuses: Array.from(
      text.matchAll(/HTTP\/1\.1 (\d{3})/g),
      ([, status]) => Number(status),
    ).filter((status) => status >= 200),
    sent: socket.bytesWritten,
  };
}

endlessRequests.forEach((request) =>
  serialTest(
    `${request.name}, sent without end by a caller or another node: it gets its refusal, its connection is closed, and calls are served`,
    async (t) => {
      const fleet = await startMeshFleet({
        vms: 1,
        route: { kind: CallKind.NonIdempotent, timeoutMilliseconds },
      });
      t.teardown(() => fleet.close());
      let isDone = false;
      const others = measureOtherCalls(fleet, () => isDone);
      const { value, retainedBytes } = await measureRetainedBytes(
        () => sendEndlessRequest(fleet, request),
      );
      isDone = true;
      const longestOther = await others;
      t.log(
        `status ${value.statuses} in ${value.answerMilliseconds.toFixed()} ms, ` +
          `closed ${value.isClosed} in ${value.elapsed.toFixed()} ms, ` +
          `sent ${value.sent}, retained ${retainedBytes}, other calls ${longestOther.toFixed()} ms`,
      );
      t.true(value.isClosed);
      t.true(request.statuses.includes(value.statuses[0] ?? 0));
      if (!request.statuses.includes(408)) {
        t.true(value.answerMilliseconds < refusalMillisecondsMaximum);
      }
      t.true(retainedBytes < retainedBytesMaximum, String(retainedBytes));
      t.true(longestOther < otherCallMillisecondsMaximum);
      t.false(fleet.backends[0]!.runs.includes("endless"));
    },
  )
);

serialTest(
  "an endless answer to another node that does not read and does not leave: the connection to the backend server is closed after the deadline, and the slot released",
  async (t) => {
    await withFleet(CallKind.NonIdempotent, async (fleet) => {
      const sockets = sendEndlessly(fleet.backends[0]!, {
        name: "a chunked body",
        getHead: (call) => createHead(call, chunked),
        part: fill(chunk),
      });
      const { host, port } = fleet.settings[0]!.listeners.nodes;
      const offering = connect(port, host);
      t.teardown(() => offering.destroy());
      offering.on("error", () => undefined);
      offering.pause();
      offering.write(
        `${callHead}${OfferHeader.Offer}: ${createOfferText()}\r\ncontent-length: 0\r\n\r\n`,
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
