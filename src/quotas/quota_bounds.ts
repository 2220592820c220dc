/** The users' bounds on the calls of an organisation at all backend servers. */
export interface QuotaBounds {
  /** Length of the windows in which calls are counted, in milliseconds. */
  readonly windowMilliseconds: number;
  /** Share by which all nodes together may exceed the quota of a window. */
  readonly excessRatio: number;
  /** Calls beyond that share. */
  readonly slackCalls: number;
}
