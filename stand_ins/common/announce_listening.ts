import type { Server } from "node:net";
import process from "node:process";
import { endWithParent } from "./end_with_parent.ts";
import { getPort } from "./get_port.ts";

/** Prints `{"listening": PORT}` once the server is ready, and ends the process with its parent. */
export function announceListening(server: Server, further: object = {}): void {
  server.once("listening", () => {
    const line = JSON.stringify({ listening: getPort(server), ...further });
    process.stdout.write(`${line}\n`);
  });
  server.once("error", (error) => {
    process.stderr.write(`Cannot listen: ${error.message}\n`);
    process.exit(1);
  });
  endWithParent(() => process.exit(0));
}
