/** What a caller says of its request in headers. */
export interface CallerHead {
  /** Names this attempt of the caller; undefined where it sent none. */
  readonly callIdentifier: string | undefined;
  /** How long the caller waits; undefined where it does not say. */
  readonly remainingMilliseconds: number | undefined;
}
