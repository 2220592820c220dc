import { MeshHeader } from "./mesh_header.ts";

/** Returns the head of a success of a call, with further lines; without them it is not complete. */
export function createEndlessHead(call: string, lines = ""): string {
  return `HTTP/1.1 200 OK\r\n${MeshHeader.Call}: ${call}\r\n${MeshHeader.Signature}: x\r\n${lines}`;
}
