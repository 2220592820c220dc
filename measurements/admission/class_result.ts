/** Counts of the calls of one caller class. */
export interface ClassResult {
  readonly sent: number;
  /** Calls answered completely before the deadline and before the caller abandoned them. */
  readonly whole: number;
  /** Calls that were dispatched and then shed, refused, broken or late. */
  readonly failed: number;
  /** Sum of the times from arrival to answer over the calls counted in `whole`, in milliseconds. */
  readonly wholeMilliseconds: number;
}
