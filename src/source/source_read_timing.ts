/** How often a node reads the source and how long each read waits. */
export interface SourceReadTiming {
  /** Minimum time between two reads; all changes during it arrive with one read. */
  readonly intervalMilliseconds: number;
  /** How long a read waits for a change. */
  readonly watchMilliseconds: number;
}
