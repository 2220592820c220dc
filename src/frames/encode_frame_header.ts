import { frameBytes } from "./frame_bytes.ts";
import { frameOffsets } from "./frame_offsets.ts";
import type { Frame } from "./frame.ts";

/** Encodes what precedes the payload of a frame. */
export function encodeFrameHeader(
  frame: Pick<Frame, "kind" | "offer">,
  payloadBytes: number,
): Buffer {
  const header = Buffer.allocUnsafe(frameBytes.header);
  header.writeUInt32BE(payloadBytes, frameOffsets.payloadBytes);
  header.writeUInt8(frame.kind, frameOffsets.kind);
  header.writeUInt32BE(frame.offer, frameOffsets.offer);
  return header;
}
