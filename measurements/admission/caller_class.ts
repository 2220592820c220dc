import type { CallPriority } from "../../src/configuration/call_priority.ts";

/** The calls that one kind of caller sends in a simulated run. */
export interface CallerClass {
  readonly name: string;
  readonly priority: CallPriority;
  /** Mean arrival rate; arrivals are a Poisson process. */
  readonly callsPerSecond: number;
  /** Duration from the arrival of a call to its deadline. */
  readonly deadlineMilliseconds: number;
  /** Fraction of the calls whose caller leaves before the deadline, from 0 to 1. */
  readonly abandoned: number;
}
