/** A handle to cancel a scheduled timer. */
export interface TimerHandle {
  /** Cancels the timer. Has no effect after the timer has fired. */
  cancel(): void;
}
