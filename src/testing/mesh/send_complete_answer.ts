import type { IncomingMessage, ServerResponse } from "node:http";
import { MeshHeader } from "./mesh_header.ts";

/** Answers a request with its call identifier, a signature and a complete body. */
export function sendCompleteAnswer(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(200, {
    [MeshHeader.Call]: request.headers[MeshHeader.Call]?.toString() ?? "",
    [MeshHeader.Signature]: "signed",
  });
  response.end(`answer to ${request.headers[MeshHeader.Call]}`);
}
