import type { ServerResponse } from "node:http";
import type { Outcome } from "../../src/calls/outcome.ts";

const refusalStatus = 503;
const retrySeconds = 1;

/** Sends a refusal in the format that nodes use, or closes the connection if the answer has begun. */
export function sendRefusal(
  response: ServerResponse,
  refusal: { readonly outcome: Outcome; readonly reason: string },
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(refusalStatus, {
    "content-type": "application/problem+json",
    "catkinquay-outcome": refusal.outcome,
    "retry-after": String(retrySeconds),
  });
  response.end(JSON.stringify({ ...refusal, status: refusalStatus }));
}
