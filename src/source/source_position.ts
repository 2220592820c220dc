/**
 * A point in the history of the source. Positions are ordered by era, then by
 * revision.
 */
export interface SourcePosition {
  /**
   * Number of times that the source came back from an older copy. Revisions of
   * two eras cannot be compared, since a copy assigns them again.
   */
  readonly era: number;
  readonly revision: number;
}
