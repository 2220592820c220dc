import type { GateLoad } from "./gate_load.ts";
import type { ServiceLoad } from "./service_load.ts";

/** The mutable view that this node has of the gate of one backend server. */
export interface GateView {
  /** The load of its service, which the views of the service share. */
  readonly serviceLoad: ServiceLoad;
  /** Number of calls that this node has sent there and that have not ended. */
  inFlight: number;
  /** The load that was reported last; undefined before the first report. */
  load: GateLoad | undefined;
  /** The most calls a second that the backend server states to take; undefined if no limit is known. */
  callsPerSecondLimit: number | undefined;
  /** When `load` was received, in milliseconds since the Unix epoch. */
  loadReceivedAt: number;
  /** The value of `inFlight` when `load` was received. */
  inFlightAtLoad: number;
  /** Instant until which the backend server is used only if no other candidate is left, in milliseconds since the Unix epoch. */
  avoidUntil: number;
  /** Instant until which the gate is assumed to have no free slot, in milliseconds since the Unix epoch. */
  fullUntil: number;
  /** The wait for a slot that the gate reported last, in milliseconds. */
  waitMilliseconds: number;
  /** Number of consecutive attempts on which contact failed. */
  contactFailures: number;
  /** Instant until which a failed attempt at contact counts against it, in milliseconds since the Unix epoch. */
  unreachedUntil: number;
  /** Moving average of the share of failed calls, 0 to 1, as of `lastOutcomeAt`. */
  failureRate: number;
  /**
   * Moving average of the time of a call as a multiple of the mean of its route
   * over the service, as of `slownessAt`; 1 if nothing is known.
   */
  slowness: number;
  /** When `slowness` was recorded, in milliseconds since the Unix epoch. */
  slownessAt: number;
  /** When the outcome of a call was last recorded, in milliseconds since the Unix epoch. */
  lastOutcomeAt: number;
  /** Moving average of the time to an answer in milliseconds, by route name. */
  readonly answerMilliseconds: Map<string, number>;
}
