import type { CallEnding } from "./call_ending.ts";
import type { CallerBucket } from "./caller_bucket.ts";

/** What a caller prints at its end, as one line of JSON. */
export interface CallerReport {
  readonly seed: number;
  /** The first instant of second 0, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly sent: number;
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Those among `unknown` that were first attempts. */
  readonly unknownFirstAttempts: number;
  readonly abandoned: number;
  readonly wrong: number;
  readonly cut: number;
  /** Attempts that found no listener; nothing was sent. */
  readonly unreachable: number;
  /** Calls that were not sent since too many were unanswered. */
  readonly held: number;
  readonly reasons: Readonly<Record<string, number>>;
  /** Cut calls by address of the node that was asked. */
  readonly cutByNode: Readonly<Record<string, number>>;
  /** Tokens of cut calls. */
  readonly cutTokens: readonly string[];
  /** Tokens whose every attempt was refused as not run, or found no listener. */
  readonly neverRunTokens: readonly string[];
  /** Keys that were sent. */
  readonly keys: readonly string[];
  readonly buckets: readonly CallerBucket[];
  readonly endings: Readonly<Partial<Record<CallEnding, number>>>;
}
