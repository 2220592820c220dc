import { Agent, request as sendRequest } from "node:http";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { MeshResponse } from "./mesh_response.ts";
import type { MeshCall } from "./mesh_call.ts";
import { MeshHeader } from "./mesh_header.ts";

const noResponse: MeshResponse = {
  status: 0,
  headers: {},
  body: "",
  whole: false,
};

/** Sends a call on a new connection; the status is 0 if the connection ends without a response. */
export function sendMeshCall(
  address: NetworkAddress,
  call: MeshCall & { readonly identifier: string },
): Promise<MeshResponse> {
  const { keptBytesMaximum = Number.POSITIVE_INFINITY } = call;
  return new Promise((resolve) => {
    const clientRequest = sendRequest({
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
    }, (response) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      response.on("data", (chunk: Buffer) => {
        bytes += chunk.byteLength;
        if (bytes <= keptBytesMaximum) chunks.push(chunk);
      });
      response.on("error", () => undefined);
      response.once("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          whole: response.complete,
        }));
    });
    clientRequest.on("error", () => resolve(noResponse));
    clientRequest.end(call.body);
  });
}
