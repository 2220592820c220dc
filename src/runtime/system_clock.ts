import type { Clock } from "./clock.ts";

/** The clock of the operating system. */
export const systemClock: Clock = { now: () => Date.now() };
