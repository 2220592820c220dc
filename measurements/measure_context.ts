/** What a measure is given for one run. */
export interface MeasureContext {
  readonly quick: boolean;
  readonly seed: number;
  /** Reports progress for people. */
  readonly progress: (message: string) => void;
}
