import test from "ava";
import { type Socket } from "node:net";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { measureRetainedBytes } from "../testing/mesh/measure_retained_bytes.ts";
import { sendEndlessBytes } from "../testing/mesh/send_endless_bytes.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import type { EndlessBytes } from "../testing/mesh/endless_bytes.ts";
import { endlessBytesLimits } from "../testing/mesh/endless_bytes_limits.ts";
import { fillPart } from "../testing/mesh/fill_part.ts";
import { createEndlessHead } from "../testing/mesh/create_endless_head.ts";
import { measureOtherCalls } from "../testing/mesh/measure_other_calls.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const {
  retainedBytesMaximum,
  otherCallMillisecondsMaximum,
} = endlessBytesLimits;

const chunked = "transfer-encoding: chunked\r\n\r\n";
const chunk = "400\r\n" + "x".repeat(1_024) + "\r\n";

/** A probe ends within 2 s; half a second more for a busy machine. */
const probeMillisecondsMaximum = 2_500;
/** The limit of a probe, and what the buffers of both sockets may hold. */
const probeBytesMaximum = 4 * 1_048_576;

const probeAnswers: readonly Omit<EndlessBytes, "notRun">[] = [
  { name: "bytes that are not HTTP", getHead: () => "", part: fillPart("x") },
  {
    name: "headers",
    getHead: () => createEndlessHead("probe"),
    part: fillPart("x-more: 1\r\n"),
  },
  {
    name: "spaces of a header",
    getHead: () => createEndlessHead("probe", "x:"),
    part: fillPart(" "),
  },
  {
    name: "interim responses",
    getHead: () => "",
    part: fillPart("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "interim responses, slowly",
    getHead: () => "",
    part: "HTTP/1.1 102 Processing\r\n\r\n",
    intervalMilliseconds: 20,
  },
  {
    name: "a body without a length",
    getHead: () => createEndlessHead("probe", "\r\n"),
    part: fillPart("x"),
  },
  {
    name: "a body without a length, slowly",
    getHead: () => createEndlessHead("probe", "\r\n"),
    part: "x",
    intervalMilliseconds: 20,
  },
  {
    name: "a chunked body",
    getHead: () => createEndlessHead("probe", chunked),
    part: fillPart(chunk),
  },
  {
    name: "a body longer than its length",
    getHead: () => createEndlessHead("probe", "content-length: 1\r\n\r\n"),
    part: fillPart("x"),
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
          intervalMilliseconds,
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
