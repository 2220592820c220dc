/** The load of a backend server, which the node beside it reports with each reply. */
export interface GateLoad {
  /** Number of calls that occupy a slot. */
  readonly running: number;
  /** Number of calls that wait for a slot. */
  readonly queued: number;
  readonly slots: number;
  /** Whether the backend server is in cold start. */
  readonly cold: boolean;
}
