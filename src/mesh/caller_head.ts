/** The headers of a caller's request that the mesh evaluates. */
export interface CallerHead {
  /**
   * Identifies this attempt of the caller; undefined if the header is missing.
   */
  readonly callIdentifier: string | undefined;
  /** Time until the caller's deadline; undefined if the header is missing. */
  readonly remainingMilliseconds: number | undefined;
}
