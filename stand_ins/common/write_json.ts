import type { ServerResponse } from "node:http";

/** Sends a response with a JSON body and ends it. */
export function writeJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
