/** What the operators say of one service. */
export interface ServiceRules {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that a backend server accepts from all clients together. */
  readonly connectionsMaximum: number;
  /** How long a backend server stays in cold start. */
  readonly coldMilliseconds: number;
  /** Requests a second that a backend server bears in cold start. */
  readonly coldCallsPerSecond: number;
}
