/** Totals of the event loop since the start of the process. */
export interface LoopCounts {
  readonly turns: number;
  readonly events: number;
}
