import type { Server } from "node:net";
import process from "node:process";
import { onShutdownRequest } from "./on_shutdown_request.ts";
import { getPort } from "./get_port.ts";

/**
 * Prints `{"listening": PORT}` and the additional fields as one line of JSON
 * once the server listens. Exits the process with status 1 if it cannot listen,
 * and with status 0 on a shutdown request.
 */
export function announceListening(
  server: Server,
  additionalFields: object = {},
): void {
  server.once("listening", () => {
    const line = JSON.stringify({
      listening: getPort(server),
      ...additionalFields,
    });
    process.stdout.write(`${line}\n`);
  });
  server.once("error", (error) => {
    process.stderr.write(`Cannot listen: ${error.message}\n`);
    process.exit(1);
  });
  onShutdownRequest(() => process.exit(0));
}
