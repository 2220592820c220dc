import { createHash } from "node:crypto";

const blockBytes = 64;

/** Returns the body of an answer: the same bytes for the same token and size. */
export function createAnswerBody(token: string, bytes: number): Uint8Array {
  const blocks = Array.from(
    { length: Math.ceil(bytes / blockBytes) },
    (_, index) =>
      createHash("sha256").update(`${token} ${index}`).digest("hex"),
  );
  return Buffer.from(blocks.join("")).subarray(0, bytes);
}
