/** A timer that has been set and may still be cancelled. */
export interface TimerHandle {
  /** Cancels the timer; has no effect once the timer has run. */
  cancel(): void;
}
