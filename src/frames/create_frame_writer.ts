import process from "node:process";
import { encodeFrameHeader } from "./encode_frame_header.ts";
import { FrameKind } from "./frame_kind.ts";
import type { FrameWriter } from "./frame_writer.ts";

interface WaitingFrame {
  readonly kind: FrameKind;
  readonly offer: number;
  readonly payload: readonly Buffer[];
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
 * called when the events of the turn have been handled.
 */
export function createFrameWriter(
  writeBytes: (bytes: Buffer) => void,
): FrameWriter {
  let waiting: WaitingFrame[] = [];

  function flush(): void {
    const urgent = waiting.filter(({ kind }) => urgentKinds.has(kind));
    const others = waiting.filter(({ kind }) => !urgentKinds.has(kind));
    waiting = [];
    const parts = [...urgent, ...others].flatMap(encode);
    if (parts.length > 0) writeBytes(Buffer.concat(parts));
  }

  return {
    write: ({ kind, offer }, payload = []) => {
      if (waiting.length === 0) process.nextTick(flush);
      waiting.push({ kind, offer, payload });
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
