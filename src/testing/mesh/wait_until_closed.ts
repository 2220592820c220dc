import type { Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { waitUntil } from "../calls/wait_until.ts";
import { endlessBytesLimits } from "./endless_bytes_limits.ts";

/** Waits until all connections are closed, or until that is too late. */
export async function waitUntilClosed(
  sockets: readonly Socket[],
): Promise<void> {
  await Promise.race([
    waitUntil(() => sockets.every(({ destroyed }) => destroyed)),
    delay(endlessBytesLimits.closeMillisecondsMaximum),
  ]);
}
