/** How the calls of a simulated overload ended, one call for each caller. */
export interface OverloadResult {
  readonly callers: number;
  /** Callers that were answered within the goal. */
  readonly inTime: number;
  /** Callers that were answered after the goal. */
  readonly late: number;
  /** Callers whose last attempt was refused. */
  readonly refused: number;
  /** Mean time from a caller's attempt to its refusal, over all refusals. */
  readonly meanRefusalMilliseconds: number;
}
