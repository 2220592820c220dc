import type { ProbeAnswer } from "./probe_answer.ts";

/** The state of the probes of this VM's backend server. Mutable. */
export interface ServerProbeState {
  /**
   * The answer to the last probe, while it is not known whether the backend server
   * that gave it belongs to the node's service; undefined otherwise.
   */
  unconfirmedAnswer: ProbeAnswer | undefined;
  /** When the last probe began, in milliseconds since the Unix epoch. */
  probedAt: number;
  /** When the next probe is due, in milliseconds since the Unix epoch. */
  nextProbeAt: number;
  probing: boolean;
}
