import { frameBytes } from "./frame_bytes.ts";
import type { Frame } from "./frame.ts";
import { FrameKind } from "./frame_kind.ts";
import { frameOffsets } from "./frame_offsets.ts";

const kinds: ReadonlySet<number> = new Set(
  Object.values(FrameKind).filter((kind) => typeof kind === "number"),
);

/**
 * Creates a function that splits received bytes into frames. It returns
 * undefined once the bytes are not frames; it retains less than one frame.
 */
export function createFrameSplitter(): (
  bytes: Buffer,
) => readonly Frame[] | undefined {
  let parts: Buffer[] = [];
  let length = 0;
  /** Length at which the first frame may be complete. */
  let needed: number = frameBytes.header;
  let isInvalid = false;

  return (bytes) => {
    if (isInvalid) return undefined;
    parts.push(bytes);
    length += bytes.byteLength;
    if (length < needed) return [];
    const received = parts.length === 1 ? bytes : Buffer.concat(parts);
    const frames: Frame[] = [];
    let position = 0;
    needed = frameBytes.header;
    // A loop, since each frame begins where the one before ends.
    while (length - position >= frameBytes.header) {
      const payloadBytes = received.readUInt32BE(
        position + frameOffsets.payloadBytes,
      );
      const kind = received.readUInt8(position + frameOffsets.kind);
      if (payloadBytes > frameBytes.payloadMaximum || !kinds.has(kind)) {
        isInvalid = true;
        parts = [];
        return undefined;
      }
      const start = position + frameBytes.header;
      const end = start + payloadBytes;
      if (end > length) {
        needed = frameBytes.header + payloadBytes;
        break;
      }
      const payload = received.subarray(start, end);
      frames.push({
        kind,
        offer: received.readUInt32BE(position + frameOffsets.offer),
        payload,
      });
      position = end;
    }
    length -= position;
    parts = length === 0 ? [] : [received.subarray(position)];
    return frames;
  };
}
