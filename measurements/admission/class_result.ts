/** How the callers of one class fared. */
export interface ClassResult {
  readonly sent: number;
  /** Answered whole before the deadline and before the caller left. */
  readonly whole: number;
  /** Left before the answer. */
  readonly abandoned: number;
  /** Refused by the admission for the last time. */
  readonly refused: number;
  /** Shed, refused or broken by the backend server. */
  readonly failed: number;
  /** The time from arrival to answer, summed over `whole`, in milliseconds. */
  readonly wholeMilliseconds: number;
}
