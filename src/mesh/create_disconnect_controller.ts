import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallController } from "./call_controller.ts";
import { createCallController } from "./create_call_controller.ts";

/**
 * Creates a controller that is aborted when the peer disconnects before its
 * response is complete.
 *
 * The end of the connection's input is the earliest sign of that. The response
 * reports its close only after the connection has been shut down, which takes
 * further turns of the event loop; on a busy VM a request would be forwarded
 * meanwhile.
 */
export function createDisconnectController(
  request: IncomingMessage,
  response: ServerResponse,
): CallController {
  const controller = createCallController();
  const { socket } = request;
  const { abort } = controller;
  socket.once("end", abort);
  response.once("close", () => {
    socket.off("end", abort);
    if (!response.writableFinished) abort();
  });
  return controller;
}
