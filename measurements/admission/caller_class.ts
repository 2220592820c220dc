import type { CallPriority } from "../../src/configuration/call_priority.ts";

/** A kind of caller in a measurement. */
export interface CallerClass {
  readonly name: string;
  readonly priority: CallPriority;
  /** New calls in a second. */
  readonly callsPerSecond: number;
  readonly deadlineMilliseconds: number;
  /** The part of the callers that leave before their deadline, from 0 to 1. */
  readonly abandoned: number;
}
