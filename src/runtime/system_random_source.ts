import { randomInt } from "node:crypto";
import type { RandomSource } from "./random_source.ts";

const randomSteps = 2 ** 47;

/** Random numbers of the operating system. */
export const systemRandomSource: RandomSource = {
  next: () => randomInt(randomSteps) / randomSteps,
};
