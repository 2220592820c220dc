import type { IncomingMessage } from "node:http";

/** Resolves with the complete body of a request, decoded as UTF-8. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks = await request.toArray();
  return Buffer.concat(chunks as Uint8Array[]).toString("utf8");
}
