import test from "ava";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { CallKind } from "../routing/call_kind.ts";
import { measureRetainedBytes } from "../testing/mesh/measure_retained_bytes.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { sendEndlessBytes } from "../testing/mesh/send_endless_bytes.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { OfferHeader } from "./offer_header.ts";
import { endlessBytesLimits } from "../testing/mesh/endless_bytes_limits.ts";
import { fillPart } from "../testing/mesh/fill_part.ts";
import { measureOtherCalls } from "../testing/mesh/measure_other_calls.ts";
import { createEndlessOfferText } from "../testing/mesh/create_endless_offer_text.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const {
  timeoutMilliseconds,
  lateMillisecondsMaximum,
  retainedBytesMaximum,
  otherCallMillisecondsMaximum,
} = endlessBytesLimits;

const chunked = "transfer-encoding: chunked\r\n\r\n";
const chunk = "400\r\n" + "x".repeat(1_024) + "\r\n";

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
const fastBody = { part: fillPart(chunk) };

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
    part: fillPart("x"),
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
    part: fillPart("0"),
    statuses: [400, 503],
  },
  {
    name: "a chunk extension",
    head: `${callHead}${chunked}5;`,
    part: fillPart("a"),
    statuses: [400, 413],
  },
  {
    name: "trailers",
    head: `${callHead}${chunked}0\r\n`,
    part: fillPart("x-more: 1\r\n"),
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
    part: fillPart("a"),
    statuses: [431],
  },
  {
    name: "headers",
    head: callHead,
    part: fillPart("x-more: 1\r\n"),
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
    part: fillPart(" "),
    statuses: [408],
  },
  {
    name: "empty lines before a request",
    head: "",
    part: fillPart("\r\n"),
    statuses: [408],
  },
  {
    name: "bytes after a request",
    head: `${unknownPathHead}content-length: 0\r\n\r\n`,
    part: fillPart("x"),
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
    head: head.replace("OFFER", createEndlessOfferText()),
    part,
    intervalMilliseconds,
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
  "request bodies in chunks of one byte: memory stays bounded by their size",
  async (t) => {
    const route = { timeoutMilliseconds };
    await withMeshFleet({ vms: 2, slots: 2, route }, async (fleet) => {
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
