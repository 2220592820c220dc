/** A call that was admitted and has not been reported yet. */
export interface RunningCall {
  readonly callIdentifier: string;
  /** In milliseconds since the Unix epoch. */
  readonly admittedAt: number;
  /** In milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** How many slots were occupied with this call, when it was admitted. */
  readonly occupiedSlots: number;
}
