import type { IncomingMessage } from "node:http";
import { isWholeAnswer } from "./is_whole_answer.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Size up to which a body that nobody needs is read to its end. */
const discardedBytesMaximum = 65_536;
/** Time in which the rest of a body may arrive before its connection is closed. */
const discardMilliseconds = 500;

/**
 * Reads a body that nobody needs, so that its connection can be used again. A
 * body that is too long or does not end in time closes the connection. Resolves
 * with whether it has arrived completely.
 */
export function discardBody(
  node: MeshNode,
  body: IncomingMessage,
): Promise<boolean> {
  let bytes = 0;
  const timer = node.timers.at(
    node.clock.now() + discardMilliseconds,
    () => body.destroy(),
  );
  body.on("data", (part: Buffer) => {
    bytes += part.byteLength;
    if (bytes > discardedBytesMaximum) body.destroy();
  });
  // The close that follows ends the reading.
  body.on("error", () => undefined);
  return new Promise((resolve) => {
    body.once("end", () => resolve(isWholeAnswer(body)));
    body.once("close", () => {
      timer.cancel();
      // Has no effect after the end.
      resolve(false);
    });
  });
}
