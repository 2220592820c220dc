import type { Socket } from "node:net";
import { createFrameSplitter } from "../frames/create_frame_splitter.ts";
import { createFrameWriter } from "../frames/create_frame_writer.ts";
import { frameBytes } from "../frames/frame_bytes.ts";
import type { Frame } from "../frames/frame.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import type { OfferConnection } from "./offer_connection.ts";
import type { OfferReceiver } from "./offer_receiver.ts";

/** Shorter than the timeout of the other side, so that this side closes first. */
const idleMilliseconds = 20_000;
/** Offers in progress; further ones are sent as HTTP messages. */
const offersMaximum = 512;
/** The largest number in a frame; none is used twice on a connection. */
const numberMaximum = 0xffff_ffff;
/** Bytes that wait until the other node reads. */
const unsentBytesMaximum = 1_048_576;
/** Time without a received byte after which no further offer is sent; a node that is not slow confirms an offer sooner. */
const silenceMilliseconds = 400;

/**
 * Creates an offer connection on an established socket. Bytes that are not
 * frames end it. `onClosed` is called before the offers in progress are broken
 * off.
 */
export function createOfferConnection(
  socket: Socket,
  options: {
    readonly onClosed: () => void;
    /** Number of the first offer; 1 if omitted. */
    readonly firstOffer?: number;
  },
): OfferConnection {
  const split = createFrameSplitter();
  const writer = createFrameWriter((bytes) => void socket.write(bytes));
  const receivers = new Map<number, OfferReceiver>();
  let lastOffer = (options.firstOffer ?? 1) - 1;
  let stopping = false;
  /** When the first offer was sent after which nothing has arrived. */
  let silentSince: number | undefined;
  let firstSilentOffer = 0;

  /** The other side may be gone, so its end of the connection is not awaited. */
  function closeIfUnused(): void {
    if (receivers.size === 0) socket.destroy();
  }

  function stop(): void {
    stopping = true;
    closeIfUnused();
  }

  function remove(offer: number): OfferReceiver | undefined {
    const receiver = receivers.get(offer);
    receivers.delete(offer);
    if (stopping) closeIfUnused();
    return receiver;
  }

  const handlers: Readonly<Record<FrameKind, (frame: Frame) => void>> = {
    [FrameKind.Confirmation]: ({ offer }) =>
      receivers.get(offer)?.onConfirmation(),
    [FrameKind.Reply]: ({ offer, payload }) =>
      receivers.get(offer)?.onReply(payload),
    [FrameKind.Data]: ({ offer, payload }) =>
      receivers.get(offer)?.onData(payload),
    [FrameKind.End]: ({ offer }) => remove(offer)?.onEnd(),
    [FrameKind.Break]: ({ offer }) => remove(offer)?.onBreak(),
    [FrameKind.Stop]: stop,
    [FrameKind.Offer]: () => void socket.destroy(),
    [FrameKind.Cancel]: () => void socket.destroy(),
    [FrameKind.Credit]: () => void socket.destroy(),
  };

  socket.setNoDelay(true);
  socket.setTimeout(idleMilliseconds, closeIfUnused);
  socket.on("data", (bytes: Buffer) => {
    silentSince = undefined;
    const frames = split(bytes);
    if (frames === undefined) socket.destroy();
    else frames.forEach((frame) => handlers[frame.kind](frame));
  });
  socket.on("error", () => undefined);
  socket.once("end", () => socket.destroy());
  socket.once("close", () => {
    stopping = true;
    options.onClosed();
    const broken = Array.from(receivers.values());
    receivers.clear();
    broken.forEach((receiver) => receiver.onBreak());
  });

  return {
    canSend: (now) =>
      !stopping && !socket.destroyed && socket.writable &&
      receivers.size < offersMaximum && lastOffer < numberMaximum &&
      socket.writableLength < unsentBytesMaximum &&
      (silentSince === undefined || now - silentSince < silenceMilliseconds),
    send: (payload, { receiver, now }) => {
      lastOffer += 1;
      if (silentSince === undefined) firstSilentOffer = lastOffer;
      silentSince ??= now;
      receivers.set(lastOffer, receiver);
      writer.write({ kind: FrameKind.Offer, offer: lastOffer }, payload);
      return lastOffer;
    },
    cancel: (offer) => {
      if (remove(offer) === undefined) return true;
      if (writer.tryWithdraw(offer)) {
        // Nothing arrives for an offer that was not written.
        if (offer === firstSilentOffer) silentSince = undefined;
        return false;
      }
      writer.write({ kind: FrameKind.Cancel, offer });
      return true;
    },
    addCredit: (offer, bytes) => {
      const payload = Buffer.allocUnsafe(frameBytes.creditPayload);
      payload.writeUInt32BE(bytes);
      writer.write({ kind: FrameKind.Credit, offer }, [payload]);
    },
    retire: stop,
    close: () => void socket.destroy(),
  };
}
