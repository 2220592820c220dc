import type { IncomingMessage } from "node:http";

/** Resolves with the whole body of a request as text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks = await request.toArray();
  return Buffer.concat(chunks as Uint8Array[]).toString("utf8");
}
