import { type Agent, request as sendRequest } from "node:http";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { SoakCall } from "./soak_call.ts";

const remainingMilliseconds = 1_500;

/** Sends a request on a kept connection and notes in the call how it ended. */
export function sendSoakCall(
  call: SoakCall,
  options: { readonly agent: Agent; readonly address: NetworkAddress },
): Promise<void> {
  return new Promise((resolve) => {
    const end = (status: number, whole: boolean) => {
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
      },
      signal: AbortSignal.timeout(remainingMilliseconds + 500),
    }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on("data", (chunk: Buffer) => chunks.push(chunk));
      answer.on("error", () => end(0, false));
      answer.once("end", () => {
        const body = Buffer.concat(chunks).toString();
        end(
          answer.statusCode ?? 0,
          answer.complete && body === `answer to ${call.identifier}`,
        );
      });
    });
    outgoing.on("error", () => end(0, false));
    outgoing.end(call.idempotent ? undefined : "order");
  });
}
