/** The headers of a caller's request that the mesh evaluates. */
export interface CallerHead {
  /**
   * Identifies this attempt of the caller; undefined if the header is missing.
   */
  readonly callIdentifier: string | undefined;
  /** Time until the caller's deadline; undefined if the header is missing. */
  readonly remainingMilliseconds: number | undefined;
  /** The caller's API key; undefined if there is none. Must not be kept or logged. */
  readonly key: string | undefined;
}
