/** What the backend server's health and load endpoints answered. Both may lag or mislead. */
export interface BackendServerProbe {
  /** The `state` field of `/health`. */
  readonly reportedState: "ready" | "cold" | "draining";
  /** The `running` field of `/load`: calls that the backend server has not let go of. */
  readonly running: number;
  /** When the probe was sent, in milliseconds since the Unix epoch. */
  readonly sentAt: number;
}
