import { MeshHeader } from "./mesh_header.ts";
import type { MeshFleet } from "./mesh_fleet.ts";
import type { RawRequest } from "./raw_request.ts";
import { startRawServer } from "./start_raw_server.ts";

const callPattern = new RegExp(`^${MeshHeader.Call}: (.*)$`, "im");
const healthyAnswer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/**
 * Replaces the first backend server of a fleet by one on plain sockets, which
 * answers health probes properly. `answer` gets every other request with the
 * identifier of its call. Returns the function that closes it.
 */
export async function replaceBackend(
  fleet: MeshFleet,
  answer: (call: string, request: RawRequest) => void,
): Promise<() => void> {
  const backend = fleet.backends[0]!;
  await backend.crash();
  const { close } = await startRawServer(backend.address, (request) => {
    const call = callPattern.exec(request.head)?.[1];
    if (call === undefined) request.socket.write(healthyAnswer);
    else answer(call, request);
  });
  return close;
}
