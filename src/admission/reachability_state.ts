/** Whether the backend server can be reached. All instants in milliseconds since the Unix epoch. */
export interface ReachabilityState {
  /** When the latest of the answered calls was dispatched; 0 before the first. */
  readonly lastAnsweredDispatchAt: number;
  /** When the backend server was found to be down; 0 while it is not. */
  readonly downSince: number;
  /** When the next trial call may be sent to a backend server that is down. */
  readonly trialAt: number;
  /** The current backoff, in milliseconds; 0 after an answered call. */
  readonly backoffMilliseconds: number;
}
