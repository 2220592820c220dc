import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { encodeFeedLine } from "../source/encode_feed_line.ts";
import { createLoneNode } from "../testing/mesh/create_lone_node.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { measureRetainedBytes } from "../testing/mesh/measure_retained_bytes.ts";
import { sendEndlessBytes } from "../testing/mesh/send_endless_bytes.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { followFeed } from "./follow_feed.ts";
import type { EndlessBytes } from "../testing/mesh/endless_bytes.ts";
import { fillPart } from "../testing/mesh/fill_part.ts";
import { createEndlessHead } from "../testing/mesh/create_endless_head.ts";
import { waitUntilClosed } from "../testing/mesh/wait_until_closed.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const chunked = "transfer-encoding: chunked\r\n\r\n";

/** A feed is given up after 1.4 s without a line; the rest is for a busy machine. */
const feedMillisecondsMaximum = 2_500;
/** A line of up to 8 MiB is held, and copied once. */
const feedRetainedBytesMaximum = 32 * 1_048_576;

const feedAnswers: readonly Omit<EndlessBytes, "body" | "notRun">[] = [
  {
    name: "a line",
    getHead: () => createEndlessHead("feed", "\r\n"),
    part: fillPart("x"),
  },
  {
    name: "a line in chunks of one byte",
    getHead: () => createEndlessHead("feed", chunked),
    part: fillPart("1\r\nx\r\n"),
  },
  {
    name: "a line, slowly",
    getHead: () => createEndlessHead("feed", "\r\n"),
    part: "x",
    intervalMilliseconds: 20,
  },
  {
    name: "a second line",
    getHead: () =>
      createEndlessHead("feed", `\r\n${encodeFeedLine(createSampleLine())}`),
    part: fillPart("x"),
  },
  {
    name: "empty lines",
    getHead: () => createEndlessHead("feed", "\r\n"),
    part: fillPart("\n"),
  },
  {
    name: "spaces of a header",
    getHead: () => createEndlessHead("feed", "x:"),
    part: fillPart(" "),
  },
  {
    name: "interim responses",
    getHead: () => "",
    part: fillPart("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "a refusal",
    getHead: () => "HTTP/1.1 503 X\r\n\r\n",
    part: fillPart("x"),
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
          intervalMilliseconds,
        });
      }).listen(0, "127.0.0.10");
      await once(server, "listening");
      t.teardown(() => {
        server.closeAllConnections();
        server.close();
      });
      const node = createLoneNode(fleet.settings[0]!);
      const { value: elapsed, retainedBytes } = await measureRetainedBytes(
        async () => {
          const startedAt = performance.now();
          await Promise.race([
            followFeed(node, {
              host: "127.0.0.10",
              port: (server.address() as AddressInfo).port,
            }, {
              after: { era: 0, revision: 0 },
              age: {
                confirmedAt: node.clock.now(),
                minimumClockOffset: Infinity,
              },
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
