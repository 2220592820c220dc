import { fstatSync } from "node:fs";
import process from "node:process";

const standardInput = 0;

/** Calls `end` once on SIGTERM, on SIGINT, and when the parent closes standard input or the IPC channel. */
export function endWithParent(end: () => void): void {
  let ended = false;
  const endOnce = () => {
    if (!ended) {
      ended = true;
      end();
    }
  };
  process.on("SIGTERM", endOnce);
  process.on("SIGINT", endOnce);
  if (process.channel !== undefined && process.channel !== null) {
    process.on("disconnect", endOnce);
  }
  const input = fstatSync(standardInput);
  if (input.isFIFO() || input.isSocket()) {
    process.stdin.on("end", endOnce);
    process.stdin.on("error", endOnce);
    process.stdin.resume();
  }
}
