import {
  type Agent,
  type IncomingMessage,
  request as sendRequest,
} from "node:http";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { SoakCall } from "./soak_call.ts";

const remainingMilliseconds = 1_500;

/** Sends a request on the agent's persistent connection and records in the call how it ended; never rejects. */
export function sendSoakCall(
  call: SoakCall,
  options: { readonly agent: Agent; readonly address: NetworkAddress },
): Promise<void> {
  return new Promise((resolve) => {
    const finish = (status: number, whole: boolean) => {
      call.status ??= status;
      call.whole = whole;
      resolve();
    };
    const outgoing = sendRequest({
      agent: options.agent,
      host: options.address.host,
      port: options.address.port,
      method: call.idempotent ? "GET" : "POST",
      path: call.url,
      headers: {
        host: "soak.example",
        "x-attempt-id": call.identifier,
        "x-deadline-ms": String(remainingMilliseconds),
        // The mesh must not pass on what a caller states here.
        "X-Tenant": "of-the-caller",
        ...(call.key === undefined
          ? {}
          : { authorization: `Bearer ${call.key}` }),
      },
      signal: AbortSignal.timeout(remainingMilliseconds + 500),
    }, (response) => {
      recordStatements(call, response);
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", () => finish(0, false));
      response.once("end", () => {
        const body = Buffer.concat(chunks).toString();
        finish(
          response.statusCode ?? 0,
          response.complete && body === `answer to ${call.identifier}`,
        );
      });
    });
    outgoing.on("error", () => finish(0, false));
    outgoing.end(call.idempotent ? undefined : "order");
  });
}

/** Records what the answering backend server states about itself. */
function recordStatements(call: SoakCall, response: IncomingMessage): void {
  const { headers } = response;
  const server = headers["x-instance-id"];
  if (typeof server !== "string") return;
  call.respondedAt = Date.now();
  if (headers["server-limit"] !== undefined) call.limitedServer = server;
  if (headers["server-leaving"] !== undefined) call.leavingServer = server;
}
