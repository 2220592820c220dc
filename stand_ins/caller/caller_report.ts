import type { CallEnding } from "./call_ending.ts";
import type { CallerBucket } from "./caller_bucket.ts";

/** The report that a caller prints when it ends, as one line of JSON. Counts are of attempts. */
export interface CallerReport {
  readonly seed: number;
  /** The start of second 0 of the buckets, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** All attempts except the unreachable ones. */
  readonly sent: number;
  /** Attempts that received the complete and correct answer. */
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  /** The first attempts among `unknown`. */
  readonly unknownFirstAttempts: number;
  readonly abandoned: number;
  readonly wrong: number;
  readonly cut: number;
  /** Attempts that could open no connection, so that nothing was sent. */
  readonly unreachable: number;
  /** Calls that were not sent because `runningMaximum` earlier ones were still running. */
  readonly held: number;
  /** Attempts by the reason of their result. */
  readonly reasons: Readonly<Record<string, number>>;
  /** Cut attempts by the address of the node that they were sent to. */
  readonly cutByNode: Readonly<Record<string, number>>;
  /** Tokens of cut attempts. */
  readonly cutTokens: readonly string[];
  /** Tokens of calls whose every attempt was refused as not run or could open no connection. */
  readonly neverRunTokens: readonly string[];
  /** Idempotency keys that were sent, each once. */
  readonly keys: readonly string[];
  readonly buckets: readonly CallerBucket[];
  readonly endings: Readonly<Partial<Record<CallEnding, number>>>;
}
