/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  readonly headerBytesMaximum: number;
  readonly bodyBytesMaximum: number;
  /** Timeout for the receipt of a request's headers. */
  readonly headerMilliseconds: number;
  /** Timeout of an idle connection. */
  readonly idleMilliseconds: number;
}
