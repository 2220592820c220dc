import { setTimeout as delay } from "node:timers/promises";

const timeoutMilliseconds = 10_000;
const pollIntervalMilliseconds = 10;

/** Waits until the condition holds, for at most 10 s; returns whether it does. */
export async function waitUntil(condition: () => boolean): Promise<boolean> {
  const deadline = Date.now() + timeoutMilliseconds;
  // A loop, since each poll starts after the one before.
  while (!condition() && Date.now() < deadline) {
    await delay(pollIntervalMilliseconds);
  }
  return condition();
}
