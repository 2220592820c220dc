/** What a measure is given for one run. */
export interface MeasureContext {
  readonly quick: boolean;
  readonly seed: number;
  /** How often runs of processes are repeated. */
  readonly repeats: number;
  /** Reports progress for people. */
  readonly reportProgress: (message: string) => void;
}
