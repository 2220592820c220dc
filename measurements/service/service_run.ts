import type { CallerBucket } from "../../stand_ins/caller/caller_bucket.ts";
import type { ServiceTimeline } from "./service_timeline.ts";

/** What callers and backend servers saw in one run. */
export interface ServiceRun {
  readonly deployment: string;
  readonly isBaseline: boolean;
  readonly repeat: number;
  readonly timeline: ServiceTimeline;
  readonly buckets: readonly CallerBucket[];
  /** Refusals and failures by reason, over the whole run. */
  readonly reasons: Readonly<Record<string, number>>;
  /** Calls that were not sent since too many were unanswered. */
  readonly held: number;
  /** Processor time of all nodes together for one attempt of a caller, in milliseconds. */
  readonly processorMillisecondsPerCall: number;
  /** Calls that began in the zone from three seconds after the publication until its return. */
  readonly begunInZoneTakenOut: number;
  /** Calls that found a backend server at its limit. */
  readonly overloadEvents: number;
  /** How often a cold backend server fell over. */
  readonly falls: number;
  /** Idempotency keys that ran more than once. */
  readonly keysRunTwice: number;
  readonly keysRun: number;
}
