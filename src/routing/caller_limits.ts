/** Limits on what a caller may send. */
export interface CallerLimits {
  readonly headerBytesMaximum: number;
  readonly bodyBytesMaximum: number;
  /** How long a caller may take to send its head. */
  readonly headerMilliseconds: number;
  /** How long a connection may stay idle. */
  readonly idleMilliseconds: number;
}
