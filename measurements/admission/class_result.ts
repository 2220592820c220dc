/** How the callers of one class fared. */
export interface ClassResult {
  readonly sent: number;
  /** Answered whole before the deadline and before the caller left. */
  readonly whole: number;
  /** Dispatched and shed, refused, broken or late. */
  readonly failed: number;
  /** The time from arrival to answer, summed over `whole`, in milliseconds. */
  readonly wholeMilliseconds: number;
}
