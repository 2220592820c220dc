import { setTimeout as delay } from "node:timers/promises";

const timeoutMilliseconds = 10_000;
const pollIntervalMilliseconds = 10;

/** Polls the condition until it holds or 10 s have passed; resolves with whether it holds. */
export async function waitUntil(condition: () => boolean): Promise<boolean> {
  const deadline = Date.now() + timeoutMilliseconds;
  // Uses a loop, because each poll starts after the previous one.
  while (!condition() && Date.now() < deadline) {
    await delay(pollIntervalMilliseconds);
  }
  return condition();
}
