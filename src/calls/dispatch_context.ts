/** What a step of a try depends on besides its state. */
export interface DispatchContext {
  /** In milliseconds since the Unix epoch. */
  readonly now: number;
  /** Whether the node was paused and its view may be old. */
  readonly confirmingView?: boolean;
}
