import type { ServerDeparture } from "../register/server_departure.ts";

/** The load of a backend server, which the node beside it reports with each reply. */
export interface GateLoad {
  /** Number of calls that occupy a slot. */
  readonly running: number;
  /** Number of calls that wait for a slot. */
  readonly queued: number;
  readonly slots: number;
  /** Whether the backend server is in cold start. */
  readonly cold: boolean;
  /**
   * The most calls a second that the backend server states to take; null if it
   * states no limit, and missing if the node does not know.
   */
  readonly callsPerSecondLimit?: number | null;
  /**
   * Present on answers: for how long calls of their route have kept a slot of late,
   * on average.
   */
  readonly routeService?: {
    readonly route: string;
    readonly milliseconds: number;
  };
  /** Present if the backend server states that it is about to leave. */
  readonly departure?: ServerDeparture;
}
