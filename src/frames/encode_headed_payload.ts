import { headLengthBytes } from "./head_length_bytes.ts";

/** Encodes a payload that consists of a head, as JSON, and a body. */
export function encodeHeadedPayload(
  head: unknown,
  body: Buffer,
): readonly Buffer[] {
  const text = Buffer.from(JSON.stringify(head));
  const length = Buffer.allocUnsafe(headLengthBytes);
  length.writeUInt32BE(text.byteLength);
  return body.byteLength > 0 ? [length, text, body] : [length, text];
}
