/** The operators' rules for one service. */
export interface ServiceRules {
  readonly name: string;
  /** Path that probes request. */
  readonly healthPath: string;
  /** Connections that a backend server accepts from all clients together. */
  readonly connectionsMaximum: number;
  /** Duration of a backend server's cold start. */
  readonly coldMilliseconds: number;
  /** Calls a second that a backend server can process in cold start. */
  readonly coldCallsPerSecond: number;
}
