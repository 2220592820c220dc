import type { ByteCollector } from "./byte_collector.ts";

/** Number of received parts that are joined into one block. */
const partsPerBlock = 64;

/**
 * Creates an empty collector. A sender may send parts of one byte, and each
 * buffer takes far more memory than that and keeps the buffer that it was read
 * into, so parts are joined as they arrive.
 */
export function createByteCollector(): ByteCollector {
  let blocks: Buffer[] = [];
  let parts: Buffer[] = [];
  let length = 0;
  return {
    add: (part) => {
      parts.push(part);
      length += part.byteLength;
      if (parts.length < partsPerBlock) return;
      blocks.push(Buffer.concat(parts));
      parts = [];
    },
    getLength: () => length,
    concatenate: () => Buffer.concat([...blocks, ...parts]),
    clear: () => {
      blocks = [];
      parts = [];
      length = 0;
    },
  };
}
