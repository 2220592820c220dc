/** A handed-over call that is under way. */
export interface Exchange {
  /** Gives the call up: its connection is closed and no event follows. */
  cancel(): void;
  /** Lets a paused answer go on. */
  resume(): void;
}
