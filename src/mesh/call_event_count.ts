/** Number of events of calls that share a kind, a reason and an outcome. */
export interface CallEventCount {
  readonly labels: {
    readonly kind: string;
    /** Empty for events without a reason. */
    readonly reason: string;
    /** Empty for events without an outcome. */
    readonly outcome: string;
  };
  events: number;
}
