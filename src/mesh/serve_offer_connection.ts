import type { Socket } from "node:net";
import { createFrameSplitter } from "../frames/create_frame_splitter.ts";
import { createFrameWriter } from "../frames/create_frame_writer.ts";
import { frameBytes } from "../frames/frame_bytes.ts";
import type { Frame } from "../frames/frame.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import type { MeshNode } from "./mesh_node.ts";
import { offerProtocol } from "./offer_protocol.ts";
import type { ServedConnection } from "./served_connection.ts";
import type { ServedOffer } from "./served_offer.ts";
import { serveOfferFrame } from "./serve_offer_frame.ts";

const idleMilliseconds = 60_000;
/** Another node sends fewer at a time. */
const offersMaximum = 1_024;
const acceptance = [
  "HTTP/1.1 101 Switching Protocols",
  "connection: upgrade",
  `upgrade: ${offerProtocol}`,
  "",
  "",
].join("\r\n");

/**
 * Serves an offer connection that another node opens on `socket`; `head` is what
 * arrived on it already. Bytes that are not frames end it, as do more offers than
 * a node sends.
 */
export function serveOfferConnection(
  node: MeshNode,
  socket: Socket,
  head: Buffer,
): void {
  const split = createFrameSplitter();
  const writer = createFrameWriter((bytes, onWritten) => {
    if (socket.writable) socket.write(bytes, onWritten);
    else onWritten();
  });
  const offers = new Map<number, ServedOffer>();
  const connection: ServedConnection = {
    announceStop: () => writer.write({ kind: FrameKind.Stop, offer: 0 }),
    destroy: () => void socket.destroy(),
  };

  function handleOffer(frame: Frame): void {
    if (offers.has(frame.offer) || offers.size >= offersMaximum) {
      socket.destroy();
      return;
    }
    const served = serveOfferFrame(node, frame, {
      writer,
      socket,
      onEnded: () => offers.delete(frame.offer),
    });
    if (served !== undefined) offers.set(frame.offer, served);
  }

  function handleFrame(frame: Frame): void {
    if (frame.kind === FrameKind.Offer) return handleOffer(frame);
    // The offer may have ended while the frame was in transit.
    if (frame.kind === FrameKind.Cancel) {
      offers.get(frame.offer)?.cancel();
      // The other node takes a connection on which nothing arrives for silent.
      writer.write({ kind: FrameKind.Break, offer: frame.offer });
      return;
    }
    const isCredit = frame.kind === FrameKind.Credit &&
      frame.payload.byteLength === frameBytes.creditPayload;
    if (!isCredit) return void socket.destroy();
    offers.get(frame.offer)?.addCredit(frame.payload.readUInt32BE());
  }

  socket.setNoDelay(true);
  socket.setTimeout(idleMilliseconds, () => {
    if (offers.size === 0) socket.destroy();
  });
  socket.on("data", (bytes: Buffer) => {
    const frames = split(bytes);
    if (frames === undefined) socket.destroy();
    else frames.forEach(handleFrame);
  });
  socket.on("error", () => undefined);
  // The other node closes the connection only if it needs no more replies.
  socket.once("end", () => socket.destroy());
  socket.once("close", () => {
    node.servedConnections.delete(connection);
    Array.from(offers.values()).forEach((offer) => offer.cancel());
  });
  node.servedConnections.add(connection);
  socket.write(acceptance);
  if (head.byteLength > 0) socket.unshift(head);
}
