/** What is known of the way to the backend server. All instants in milliseconds since the Unix epoch. */
export interface ReachabilityState {
  /** The dispatch of the latest call that was answered whole; 0 before the first. */
  readonly lastAnsweredDispatchAt: number;
  /** When the backend server was found to be down; 0 while it is not. */
  readonly downSince: number;
  /** When the next call may try a backend server that is down. */
  readonly nextTrialAt: number;
  /** The span that the next failure adds to its instant, in milliseconds. */
  readonly backoffMilliseconds: number;
}
