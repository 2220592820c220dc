import test from "ava";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { encodeFrameHeader } from "../frames/encode_frame_header.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createOfferConnection } from "./create_offer_connection.ts";
import type { OfferReceiver } from "./offer_receiver.ts";

const payload = [Buffer.from("offer")];
const offersMaximum = 512;
const numberMaximum = 4_294_967_295;

function createReceiver(): { receiver: OfferReceiver; events: string[] } {
  const events: string[] = [];
  return {
    events,
    receiver: {
      onConfirmation: () => events.push("confirmation"),
      onReply: () => events.push("reply"),
      onData: () => events.push("data"),
      onEnd: () => events.push("end"),
      onBreak: () => events.push("break"),
    },
  };
}

/** Both ends of a connection; the other end sends nothing on its own. */
async function connectEnds(firstOffer = 1) {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address();
  const port = typeof address === "object" ? address?.port ?? 0 : 0;
  const accepted = once(server, "connection");
  const socket = connect(port, "127.0.0.1");
  const [other] = await accepted as [Socket];
  server.close();
  other.on("error", () => undefined).resume();
  let closed = false;
  const connection = createOfferConnection(socket, {
    firstOffer,
    onClosed: () => {
      closed = true;
    },
  });
  return {
    connection,
    socket,
    other,
    isClosed: () => closed,
    respond: (kind: FrameKind, offer: number) =>
      other.write(encodeFrameHeader({ kind, offer }, 0)),
  };
}

test("power cut: a connection on which nothing arrives gets no further offers until something does", async (t) => {
  const { connection, socket, respond } = await connectEnds();
  const { receiver, events } = createReceiver();
  t.true(connection.canSend(0));
  const offer = connection.send(payload, { receiver, now: 0 });
  // A node that is not slow confirms within 200 ms.
  t.true(connection.canSend(200));
  t.false(connection.canSend(500));
  respond(FrameKind.Confirmation, offer);
  t.true(await waitUntil(() => events.length > 0));
  t.true(connection.canSend(500));
  socket.destroy();
});

test("an offer that was never written is not awaited", async (t) => {
  const { connection, socket } = await connectEnds();
  const { receiver } = createReceiver();
  t.false(connection.cancel(connection.send(payload, { receiver, now: 0 })));
  t.true(connection.canSend(500));
  socket.destroy();
});

test("a connection whose numbers are used up takes no further offers", async (t) => {
  const { connection, other } = await connectEnds(numberMaximum);
  const { receiver } = createReceiver();
  const received = once(other, "data");
  t.is(connection.send(payload, { receiver, now: 0 }), numberMaximum);
  await received;
  t.false(connection.canSend(0));
  connection.close();
});

test("a stopping node: offers in progress end, then the connection closes", async (t) => {
  const { connection, isClosed, respond } = await connectEnds();
  const { receiver, events } = createReceiver();
  const offer = connection.send(payload, { receiver, now: 0 });
  respond(FrameKind.Stop, 0);
  t.true(await waitUntil(() => !connection.canSend(0)));
  t.false(isClosed());
  respond(FrameKind.End, offer);
  t.true(await waitUntil(isClosed));
  t.deepEqual(events, ["end"]);
});

test("a lost connection breaks off the offers in progress, and a cancelled one is not reported", async (t) => {
  const { connection, other } = await connectEnds();
  const kept = createReceiver();
  const cancelled = createReceiver();
  connection.send(payload, { receiver: kept.receiver, now: 0 });
  const offer = connection.send(payload, {
    receiver: cancelled.receiver,
    now: 0,
  });
  t.false(
    connection.cancel(offer),
    "an offer that was not written has not run",
  );
  other.resetAndDestroy();
  t.true(await waitUntil(() => kept.events.length > 0));
  t.deepEqual(kept.events, ["break"]);
  t.deepEqual(cancelled.events, []);
});

test("bytes that are no frames, and frames that only this side sends, end the connection", async (t) => {
  const ownKind = encodeFrameHeader({ kind: FrameKind.Offer, offer: 1 }, 0);
  const unknownKind = Buffer.from(ownKind);
  unknownKind.writeUInt8(99, 4);
  await Promise.all([unknownKind, ownKind].map(async (bytes) => {
    const { connection, other, isClosed } = await connectEnds();
    const { receiver, events } = createReceiver();
    connection.send(payload, { receiver, now: 0 });
    other.write(bytes);
    t.true(await waitUntil(isClosed));
    t.deepEqual(events, ["break"]);
  }));
});

test("a connection takes a bounded number of offers at a time", async (t) => {
  const { connection, socket } = await connectEnds();
  const { receiver } = createReceiver();
  Array.from(
    { length: offersMaximum },
    () => connection.send(payload, { receiver, now: 0 }),
  );
  t.false(connection.canSend(0));
  connection.cancel(1);
  t.true(connection.canSend(0));
  socket.destroy();
});
