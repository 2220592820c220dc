import { randomInt } from "node:crypto";
import type { RandomSource } from "./random_source.ts";

/** Number of distinct values; `randomInt` accepts ranges below 2 ** 48. */
const randomSteps = 2 ** 47;

/** Random numbers from the cryptographically secure generator of Node.js. */
export const systemRandomSource: RandomSource = {
  next: () => randomInt(randomSteps) / randomSteps,
};
