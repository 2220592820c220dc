import type { ServerResponse } from "node:http";

/** Ends a response with a JSON body. */
export function writeJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
