import type { GateLoad } from "./gate_load.ts";

/** What this node has seen of the node beside one backend server. Changed in place. */
export interface GateView {
  /** Calls of this node that are there now. */
  inFlight: number;
  load: GateLoad | undefined;
  /** When `load` was told, in milliseconds since the Unix epoch. */
  loadAt: number;
  /** `inFlight` at that instant. */
  loadInFlight: number;
  /** Until when it is only asked where nobody else is left, in milliseconds since the Unix epoch. */
  avoidUntil: number;
  /** Until when it is known to have no free slot, in milliseconds since the Unix epoch. */
  fullUntil: number;
  /** The wait for a slot that it told last. */
  waitMilliseconds: number;
  /** Losses of contact in a row. */
  contactFailures: number;
  /** Moving average of failed calls, 0 to 1, as of `judgedAt`. */
  failureShare: number;
  /** When the last call ended there, in milliseconds since the Unix epoch. */
  judgedAt: number;
  /** Moving average of the time to an answer in milliseconds, by route. */
  readonly answerMilliseconds: Map<string, number>;
}
