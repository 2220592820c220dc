import { Buffer } from "node:buffer";
import type { LineBuffer } from "./line_buffer.ts";

/** Creates an empty buffer. A block holds whole lines; a longer line is a block of its own. */
export function createLineBuffer(
  options: {
    readonly bytesMaximum: number;
    readonly blockBytesMaximum: number;
  },
): LineBuffer {
  const lines: string[] = [];
  /** The part of the oldest block that is not written yet. */
  let block: Buffer = Buffer.alloc(0);
  let bytes = 0;
  let dropped = 0;

  function takeBlock(): Buffer {
    let blockBytes = 0;
    const end = lines.findIndex((line) => {
      blockBytes += Buffer.byteLength(line);
      return blockBytes > options.blockBytesMaximum;
    });
    const count = end < 0 ? lines.length : Math.max(1, end);
    return Buffer.from(lines.splice(0, count).join(""));
  }

  return {
    append: (line) => {
      const lineBytes = Buffer.byteLength(line);
      if (bytes + lineBytes > options.bytesMaximum) {
        dropped += 1;
        return;
      }
      lines.push(line);
      bytes += lineBytes;
    },
    getBytes: () => bytes,
    peek: () => {
      if (block.length === 0) block = takeBlock();
      return block;
    },
    remove: (written) => {
      block = block.subarray(written);
      bytes -= written;
    },
    countDropped: (count) => {
      dropped += count;
    },
    takeDropped: () => {
      const taken = dropped;
      dropped = 0;
      return taken;
    },
  };
}
