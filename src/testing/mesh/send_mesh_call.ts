import { Agent, request as sendRequest } from "node:http";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { MeshAnswer } from "./mesh_answer.ts";
import type { MeshCall } from "./mesh_call.ts";
import { MeshHeader } from "./mesh_header.ts";

const brokenAnswer: MeshAnswer = {
  status: 0,
  headers: {},
  body: "",
  whole: false,
};

/** Sends a call on a new connection; status 0 where the connection ended without an answer. */
export function sendMeshCall(
  address: NetworkAddress,
  call: MeshCall & { readonly identifier: string },
): Promise<MeshAnswer> {
  return new Promise((resolve) => {
    const outgoing = sendRequest({
      agent: new Agent({ keepAlive: false }),
      host: address.host,
      port: address.port,
      method: call.method ?? "GET",
      path: call.path ?? "/cakes/1",
      headers: {
        host: "shop.example",
        [MeshHeader.Call]: call.identifier,
        [MeshHeader.Remaining]: String(call.remainingMilliseconds ?? 2_000),
        ...call.headers,
      },
      ...(call.signal === undefined ? {} : { signal: call.signal }),
    }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on("data", (chunk: Buffer) => chunks.push(chunk));
      answer.on("error", () => undefined);
      answer.once("close", () =>
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body: Buffer.concat(chunks).toString(),
          whole: answer.complete,
        }));
    });
    outgoing.on("error", () => resolve(brokenAnswer));
    outgoing.end(call.body);
  });
}
