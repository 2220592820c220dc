/** Input of `stepDispatch` besides the attempt's state and the event. */
export interface DispatchContext {
  /** The current time, in milliseconds since the Unix epoch. */
  readonly now: number;
  /** Whether the node was paused and its view may be stale. */
  readonly confirmingView?: boolean;
}
