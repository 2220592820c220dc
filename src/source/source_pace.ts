/** How often a node reads the source. */
export interface SourcePace {
  /** Least time between two reads: changes of this span arrive with one read. */
  readonly intervalMilliseconds: number;
  /** How long a read waits for a change. */
  readonly watchMilliseconds: number;
}
