/** What became of the callers of a simulated overload. */
export interface OverloadResult {
  readonly callers: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Mean wait for a refusal, over all refusals. */
  readonly meanRefusalMilliseconds: number;
}
