import { setTimeout as delay } from "node:timers/promises";

const boundMilliseconds = 10_000;
const stepMilliseconds = 10;

/** Waits until the condition holds, at most 10 s; returns whether it does. */
export async function waitUntil(condition: () => boolean): Promise<boolean> {
  const latest = Date.now() + boundMilliseconds;
  // A loop, since each round waits for the one before.
  while (!condition() && Date.now() < latest) {
    await delay(stepMilliseconds);
  }
  return condition();
}
