import { MeshHeader } from "./mesh_header.ts";

/** Formats a request of a pipelined caller as it is sent. */
export function formatPipelinedRequest(
  identifier: string,
  { remainingMilliseconds }: { readonly remainingMilliseconds: number },
): string {
  return [
    "GET /cakes/1 HTTP/1.1",
    "host: shop.example",
    `${MeshHeader.Call}: ${identifier}`,
    `${MeshHeader.Remaining}: ${remainingMilliseconds}`,
    "",
    "",
  ].join("\r\n");
}
