import type { BackendServerProbe } from "../health/backend_server_probe.ts";

/** The state of the probes. At most one is in flight. */
export interface ProbingState {
  readonly isInFlight: boolean;
  /** When the last probe was sent, in milliseconds since the Unix epoch; 0 before the first. */
  readonly sentAt: number;
  /** When the next probe is due, in milliseconds since the Unix epoch; infinity before the start. */
  readonly nextAt: number;
  /** The minimum number of concurrently running calls since the last probe was sent. */
  readonly minimumRunning: number;
  readonly consecutiveFailures: number;
  /**
   * When the first of the consecutive failed probes was sent, in milliseconds
   * since the Unix epoch; 0 if there is none.
   */
  readonly failingSince: number;
  /** The state in the latest successful probe; undefined before the first. */
  readonly reportedState: BackendServerProbe["reportedState"] | undefined;
}
