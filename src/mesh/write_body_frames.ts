import type { Readable } from "node:stream";
import { frameBytes } from "../frames/frame_bytes.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import type { FrameWriter } from "../frames/frame_writer.ts";
import type { CallSignal } from "./call_signal.ts";

const noBytes = Buffer.alloc(0);

/**
 * Writes a body as it arrives; no more of it than the window is sent before it
 * is known to be used. Returns the function that states how many further bytes
 * were used.
 */
export function writeBodyFrames(
  body: Readable,
  options: {
    readonly writer: FrameWriter;
    /** Number of the offer on its connection. */
    readonly offer: number;
    /** Called when the end of the answer, or its break, has been passed to the system. */
    readonly onEnded: () => void;
    /** Ends the offer; the other node may never use what waits. */
    readonly signal: CallSignal;
  },
): (bytes: number) => void {
  const { writer, offer, onEnded, signal } = options;
  /** What has arrived, but does not fit into the window. */
  let waiting: Buffer = noBytes;
  let unusedBytes = 0;
  let isComplete = false;
  let hasEnded = false;

  function end(kind: FrameKind): void {
    if (hasEnded) return;
    hasEnded = true;
    waiting = noBytes;
    signal.removeEventListener("abort", giveUp);
    writer.write({ kind, offer, onWritten: onEnded });
  }

  function breakOff(): void {
    if (!isComplete) end(FrameKind.Break);
  }

  function giveUp(): void {
    end(FrameKind.Break);
  }

  function writeWaiting(): void {
    const room = Math.max(0, frameBytes.windowMaximum - unusedBytes);
    const bytes = waiting.subarray(0, room);
    waiting = waiting.subarray(bytes.byteLength);
    unusedBytes += bytes.byteLength;
    const count = Math.ceil(bytes.byteLength / frameBytes.dataMaximum);
    Array.from({ length: count }, (_, index) => {
      const start = index * frameBytes.dataMaximum;
      const part = bytes.subarray(start, start + frameBytes.dataMaximum);
      writer.write({ kind: FrameKind.Data, offer }, [part]);
    });
    if (waiting.byteLength > 0) return;
    if (isComplete) end(FrameKind.End);
  }

  body.on("data", (bytes: Buffer) => {
    if (hasEnded) return;
    // The body is paused while bytes wait, so this is a copy at most once.
    waiting = waiting.byteLength === 0 ? bytes : Buffer.concat([
      waiting,
      bytes,
    ]);
    writeWaiting();
    if (unusedBytes >= frameBytes.windowMaximum) body.pause();
  });
  body.once("end", () => {
    isComplete = true;
    writeWaiting();
  });
  // A broken answer must not look complete to the other node.
  body.once("error", breakOff);
  body.once("aborted", breakOff);
  body.once("close", breakOff);
  signal.addEventListener("abort", giveUp, { once: true });
  if (body.destroyed && !body.readableEnded) breakOff();
  return (bytes) => {
    unusedBytes -= bytes;
    writeWaiting();
    if (unusedBytes < frameBytes.windowMaximum && body.isPaused()) {
      body.resume();
    }
  };
}
