import type { IncomingMessage } from "node:http";
import type { MeshNode } from "./mesh_node.ts";

/** Size up to which a body that nobody needs is read to its end. */
const discardedBytesMaximum = 65_536;
const discardMilliseconds = 500;

/**
 * Reads a body that nobody needs, so that its connection can be used again. A
 * body that is too long or does not end in time closes the connection.
 */
export function discardBody(node: MeshNode, body: IncomingMessage): void {
  let bytes = 0;
  const timer = node.timers.at(
    node.clock.now() + discardMilliseconds,
    () => body.destroy(),
  );
  body.on("data", (part: Buffer) => {
    bytes += part.byteLength;
    if (bytes > discardedBytesMaximum) body.destroy();
  });
  body.on("error", () => undefined);
  body.once("close", () => timer.cancel());
}
