import type { BackendServerProbe } from "../health/backend_server_probe.ts";

/** Where the admission stands with its probes. At most one is under way. */
export interface ProbingState {
  readonly isInFlight: boolean;
  /** When the last probe was sent, in milliseconds since the Unix epoch; 0 before the first. */
  readonly sentAt: number;
  /** When the next probe is due, in milliseconds since the Unix epoch; infinite before the start. */
  readonly nextAt: number;
  /** The fewest calls that ran here at one instant since the last probe was sent. */
  readonly minimumRunning: number;
  readonly consecutiveFailures: number;
  /** When the first of the failures in a row was sent, in milliseconds since the Unix epoch. */
  readonly failingSince: number;
  /** The last answer; undefined before the first. */
  readonly reportedState: BackendServerProbe["reportedState"] | undefined;
}
