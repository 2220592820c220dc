import process from "node:process";
import { encodeFrameHeader } from "./encode_frame_header.ts";
import { FrameKind } from "./frame_kind.ts";
import type { FrameWriter } from "./frame_writer.ts";

interface WaitingFrame {
  readonly kind: FrameKind;
  readonly offer: number;
  readonly payload: readonly Buffer[];
  readonly onWritten: (() => void) | undefined;
}

/** Kinds that do not wait for the bodies of other offers in the same turn. */
const urgentKinds: ReadonlySet<FrameKind> = new Set([
  FrameKind.Cancel,
  FrameKind.Confirmation,
  FrameKind.Credit,
  FrameKind.Stop,
]);

/**
 * Creates a writer. `writeBytes` gets the frames of a turn as one buffer; it is
 * called when the events of the turn have been handled, and calls `onWritten`
 * when the bytes have been passed to the system, or never will be.
 */
export function createFrameWriter(
  writeBytes: (bytes: Buffer, onWritten: () => void) => void,
): FrameWriter {
  let waiting: WaitingFrame[] = [];

  function flush(): void {
    const urgent = waiting.filter(({ kind }) => urgentKinds.has(kind));
    const others = waiting.filter(({ kind }) => !urgentKinds.has(kind));
    waiting = [];
    const frames = [...urgent, ...others];
    if (frames.length === 0) return;
    writeBytes(
      Buffer.concat(frames.flatMap(encode)),
      () => frames.forEach(({ onWritten }) => onWritten?.()),
    );
  }

  return {
    write: ({ kind, offer, onWritten }, payload = []) => {
      if (waiting.length === 0) process.nextTick(flush);
      waiting.push({ kind, offer, payload, onWritten });
    },
    tryWithdraw: (offer) => {
      const kept = waiting.filter((frame) =>
        frame.offer !== offer || frame.kind !== FrameKind.Offer
      );
      const isFound = kept.length < waiting.length;
      waiting = kept;
      return isFound;
    },
  };
}

function encode(frame: WaitingFrame): readonly Buffer[] {
  const bytes = frame.payload.reduce((sum, part) => sum + part.byteLength, 0);
  return [encodeFrameHeader(frame, bytes), ...frame.payload];
}
