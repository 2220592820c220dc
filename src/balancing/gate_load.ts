/** What the node beside a backend server says of its load, with each reply. */
export interface GateLoad {
  /** Calls at the backend server. */
  readonly running: number;
  /** Calls that wait for a slot. */
  readonly queued: number;
  readonly slots: number;
  /** Whether the backend server is in cold start. */
  readonly cold: boolean;
}
