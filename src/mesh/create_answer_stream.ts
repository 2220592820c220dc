import { Readable } from "node:stream";
import { frameBytes } from "../frames/frame_bytes.ts";

/**
 * Creates the body of an answer that arrives on an offer connection. `onUsed`
 * gets the number of bytes that were read since its last call; `onLeft` is
 * called if the stream is destroyed before its end.
 */
export function createAnswerStream(
  options: {
    readonly onUsed: (bytes: number) => void;
    readonly onLeft: () => void;
  },
): { readonly body: Readable; readonly push: (bytes: Buffer | null) => void } {
  let pendingBytes = 0;
  let hasEnded = false;
  const body = new Readable({
    highWaterMark: frameBytes.windowMaximum,
    read: () => {
      if (pendingBytes < frameBytes.windowMaximum / 2) return;
      options.onUsed(pendingBytes);
      pendingBytes = 0;
    },
    destroy: (error, callback) => {
      if (!hasEnded) options.onLeft();
      callback(error);
    },
  });
  return {
    body,
    push: (bytes) => {
      hasEnded = bytes === null;
      pendingBytes += bytes?.byteLength ?? 0;
      body.push(bytes);
    },
  };
}
