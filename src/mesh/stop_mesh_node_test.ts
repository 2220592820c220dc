import test from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { scriptAllBackends } from "../testing/mesh/script_all_backends.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { encodeOffer } from "./encode_offer.ts";
import { OfferHeader } from "./offer_header.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

/** A connection to a node's listener for other nodes, and what was received on it. */
interface PeerConnection {
  readonly socket: Socket;
  readonly received: () => string;
}

async function connectAsPeer(fleet: MeshFleet): Promise<PeerConnection> {
  const { host, port } = fleet.settings[0]!.listeners.nodes;
  const socket = connect(port, host);
  let text = "";
  socket.on("data", (data) => {
    text += data.toString();
  });
  socket.on("error", () => undefined);
  await once(socket, "connect");
  return { socket, received: () => text };
}

function formatOfferHead(
  callIdentifier: string,
  { bodyBytes }: { readonly bodyBytes: number },
): string {
  const now = Date.now();
  const offer = encodeOffer(createSampleOffer(callIdentifier, { now }), now);
  const lines = [
    "POST /cakes/1 HTTP/1.1",
    "host: shop.example",
    `${OfferHeader.Offer}: ${offer}`,
    `${MeshHeader.Call}: ${callIdentifier}`,
    `content-length: ${bodyBytes}`,
    "",
    "",
  ];
  return lines.join("\r\n");
}

function countReplies(connection: PeerConnection): number {
  return connection.received().split(`${OfferHeader.Reply}:`).length - 1;
}

// Guards against cutting an offer that the node had accepted: its caller would
// be told that the outcome is unknown, although the call has not run.
serialTest(
  "a planned stop waits for an offer whose body is still being sent",
  async (t) => {
    await withMeshFleet({ vms: 1, stopMilliseconds: 5_000 }, async (fleet) => {
      const connection = await connectAsPeer(fleet);
      const stopped = fleet.daemons[0]!.stop();
      await delay(2_400);
      connection.socket.write(formatOfferHead("order", { bodyBytes: 8 }));
      connection.socket.write("half");
      await delay(700);
      connection.socket.write("half");
      t.true(await waitUntil(() => countReplies(connection) === 1));
      t.true(connection.received().includes(RefusalReason.NodeDraining));
      await stopped;
      t.deepEqual(fleet.backends[0]!.runs, []);
    });
  },
);

// Guards against a reset of an offer that is in transit when its connection
// closes: the outcome would be unknown, although the call has not run.
serialTest(
  "an offer that crosses the close of an idle connection at the end of a stop gets the reply that it has not run",
  async (t) => {
    await withMeshFleet({ vms: 1, stopMilliseconds: 5_000 }, async (fleet) => {
      const connection = await connectAsPeer(fleet);
      connection.socket.write(formatOfferHead("first", { bodyBytes: 0 }));
      t.true(await waitUntil(() => countReplies(connection) === 1));
      const ended = once(connection.socket, "end");
      await fleet.daemons[0]!.stop();
      connection.socket.write(formatOfferHead("crossing", { bodyBytes: 0 }));
      await ended;
      t.is(countReplies(connection), 2);
      t.true(connection.received().includes(RefusalReason.NodeDraining));
      t.deepEqual(fleet.backends[0]!.runs, ["first"]);
      connection.socket.destroy();
    });
  },
);

// Guards against a stop that takes until its latest end for offers that are gone.
serialTest(
  "a planned stop does not wait for an offer behind another one on a connection that has ended",
  async (t) => {
    await withMeshFleet({ vms: 1, stopMilliseconds: 5_000 }, async (fleet) => {
      fleet.backends[0]!.script = () => undefined;
      const connection = await connectAsPeer(fleet);
      connection.socket.write(
        formatOfferHead("first", { bodyBytes: 0 }) +
          formatOfferHead("second", { bodyBytes: 0 }),
      );
      t.true(await waitUntil(() => fleet.backends[0]!.runs.length === 2));
      connection.socket.destroy();
      const startedAt = performance.now();
      t.is(await fleet.daemons[0]!.stop(), 0);
      t.true(performance.now() - startedAt < 3_500);
    });
  },
);

// Guards against calls that are accepted after a second signal and cut by the
// end of the stop that the first one began.
serialTest(
  "a second stop of a node that is stopping does not make it accept callers again",
  async (t) => {
    const route = { timeoutMilliseconds: 6_000 };
    const options = { vms: 2, route, stopMilliseconds: 6_000 };
    await withMeshFleet(options, async (fleet) => {
      scriptAllBackends(fleet, (request, response) => {
        setTimeout(() => sendCompleteAnswer(request, response), 3_000);
      });
      const call = () => fleet.call(0, { remainingMilliseconds: 6_000 });
      const stops = [fleet.daemons[0]!.stop()];
      await delay(2_000);
      const running = call();
      await delay(400);
      stops.push(fleet.daemons[0]!.stop());
      await delay(600);
      t.is((await call()).status, 503);
      t.is((await running).status, 200);
      t.deepEqual(await Promise.all(stops), [0, 0]);
    });
  },
);
