import type { CallPriority } from "../../src/configuration/call_priority.ts";

/** A class of callers in a simulated run, and the calls that they send. */
export interface CallerClass {
  readonly name: string;
  readonly priority: CallPriority;
  /** Mean arrival rate; arrivals are a Poisson process. */
  readonly callsPerSecond: number;
  /** Duration from the arrival of a call to its deadline. */
  readonly deadlineMilliseconds: number;
  /** Fraction of the calls that their caller abandons before the deadline, from 0 to 1. */
  readonly abandoned: number;
}
