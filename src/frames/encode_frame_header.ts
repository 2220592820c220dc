import { frameBytes } from "./frame_bytes.ts";
import type { Frame } from "./frame.ts";

/** Encodes what precedes the payload of a frame. */
export function encodeFrameHeader(
  frame: Pick<Frame, "kind" | "offer">,
  payloadBytes: number,
): Buffer {
  const header = Buffer.allocUnsafe(frameBytes.header);
  header.writeUInt32BE(payloadBytes, 0);
  header.writeUInt8(frame.kind, 4);
  header.writeUInt32BE(frame.offer, 5);
  return header;
}
