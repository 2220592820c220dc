import { fstatSync } from "node:fs";
import process from "node:process";

const standardInputDescriptor = 0;

/** Calls `shutDown` once: on SIGTERM, on SIGINT, or when the parent closes standard input or the IPC channel. */
export function onShutdownRequest(shutDown: () => void): void {
  let isShuttingDown = false;
  const shutDownOnce = () => {
    if (!isShuttingDown) {
      isShuttingDown = true;
      shutDown();
    }
  };
  process.on("SIGTERM", shutDownOnce);
  process.on("SIGINT", shutDownOnce);
  if (process.channel !== undefined && process.channel !== null) {
    process.on("disconnect", shutDownOnce);
  }
  const input = fstatSync(standardInputDescriptor);
  if (input.isFIFO() || input.isSocket()) {
    process.stdin.on("end", shutDownOnce);
    process.stdin.on("error", shutDownOnce);
    process.stdin.resume();
  }
}
