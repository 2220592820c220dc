import { once } from "node:events";
import { connect } from "node:net";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import { formatPipelinedRequest } from "./format_pipelined_request.ts";
import { MeshHeader } from "./mesh_header.ts";
import type { PipelinedCaller } from "./pipelined_caller.ts";

const remainingMilliseconds = 2_000;
const identifierLine = new RegExp(`^${MeshHeader.Call}: (.*)$`, "gim");
const statusLine = /HTTP\/1\.1 (\d+)/g;

/** Connects a pipelined caller to a node's listener for callers. */
export async function connectPipelinedCaller(
  { host, port }: NetworkAddress,
): Promise<PipelinedCaller> {
  const socket = connect(port, host);
  let received = "";
  socket.on("data", (data) => {
    received += data.toString();
  });
  socket.on("error", () => undefined);
  await once(socket, "connect");
  const list = (pattern: RegExp) =>
    Array.from(received.matchAll(pattern), ([, value]) => (value ?? "").trim());
  return {
    send: (...identifiers) =>
      void socket.write(
        identifiers.map((identifier) =>
          formatPipelinedRequest(identifier, { remainingMilliseconds })
        ).join(""),
      ),
    sendText: (text) => void socket.write(text),
    answered: () => list(identifierLine),
    statuses: () => list(statusLine).map(Number),
    isClosed: () => socket.closed,
    reset: () => void socket.resetAndDestroy(),
  };
}
