import type { Socket } from "node:net";
import { ConnectTimeout } from "./connect_timeout.ts";

/** Round trips take a few milliseconds; a VM without power never answers. */
const connectMilliseconds = 200;

/** Tells when a connection stands, and destroys one that does not come about in time. */
export function watchConnect(
  socket: Socket,
  options: { readonly onConnected: () => void },
): void {
  if (!socket.connecting) {
    options.onConnected();
    return;
  }
  const timeout = setTimeout(
    () => socket.destroy(new ConnectTimeout(connectMilliseconds)),
    connectMilliseconds,
  );
  socket.once("connect", () => {
    clearTimeout(timeout);
    options.onConnected();
  });
  socket.once("close", () => clearTimeout(timeout));
}
