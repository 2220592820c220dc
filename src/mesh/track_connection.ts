import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { scheduleAfterInput } from "../runtime/schedule_after_input.ts";
import { ConnectTimeoutError } from "./connect_timeout_error.ts";

/** A round trip takes a few milliseconds; a VM without power never responds. */
const connectTimeoutMilliseconds = 200;

/**
 * Tracks whether the connection of a request is established, and destroys it if
 * that takes too long. `onConnected` is called once it is established; `isNew` is
 * false for a connection that served earlier requests.
 */
export function trackConnection(
  request: ClientRequest,
  onConnected: (connection: { readonly isNew: boolean }) => void = () =>
    undefined,
): { readonly isConnected: () => boolean } {
  let connected = false;
  const handleConnected = (isNew: boolean) => {
    connected = true;
    onConnected({ isNew });
  };
  request.once("socket", (socket: Socket) => {
    if (!socket.connecting) {
      handleConnected(false);
      return;
    }
    const timeout = scheduleAfterInput(
      connectTimeoutMilliseconds,
      () => socket.destroy(new ConnectTimeoutError(connectTimeoutMilliseconds)),
    );
    socket.once("connect", () => {
      timeout.cancel();
      handleConnected(true);
    });
    socket.once("close", timeout.cancel);
  });
  return { isConnected: () => connected };
}
