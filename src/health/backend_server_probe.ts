/** The response of the backend server's health and load endpoints. Both can be outdated or wrong. */
export interface BackendServerProbe {
  /** The `state` field of `/health`. */
  readonly reportedState: "ready" | "cold" | "draining";
  /** The `running` field of `/load`: the number of calls that the backend server has not released. */
  readonly running: number;
  /** When the probe was sent, in milliseconds since the Unix epoch. */
  readonly sentAt: number;
}
