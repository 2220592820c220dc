import type { CallerBucket } from "../../stand_ins/caller/caller_bucket.ts";
import type { ServiceTimeline } from "./service_timeline.ts";

/** Counts of callers, nodes and backend servers in one run. */
export interface ServiceRun {
  readonly deployment: string;
  readonly isBaseline: boolean;
  readonly repeat: number;
  readonly timeline: ServiceTimeline;
  /** Call counts per second and service. */
  readonly buckets: readonly CallerBucket[];
  /** Refusals and failures by reason, over the whole run. */
  readonly reasons: Readonly<Record<string, number>>;
  /** Calls that the caller did not send because too many were unanswered. */
  readonly held: number;
  /** Processor time of all nodes together for one attempt of a caller, in milliseconds. */
  readonly processorMillisecondsPerCall: number;
  /** Calls that started in the zone from 3 s after its take-out was published until its return. */
  readonly begunInZoneTakenOut: number;
  /** Calls that reached a backend server at its limit. */
  readonly overloadEvents: number;
  /** How often a cold backend server collapsed under overload. */
  readonly falls: number;
  /** Idempotency keys that ran more than once. */
  readonly keysRunTwice: number;
  /** Idempotency keys that ran at least once. */
  readonly keysRun: number;
}
