import type { ServerResponse } from "node:http";

/**
 * Ends a response that is incomplete. Its connection is reset, since the regular
 * end of a connection completes a body without a length.
 */
export function breakOffResponse(response: ServerResponse): void {
  response.socket?.resetAndDestroy();
  response.destroy();
}
