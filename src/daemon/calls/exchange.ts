/** A call in progress at another node, at the backend server or in process. */
export interface Exchange {
  /** Cancels the call: its connection is closed and no event follows. */
  cancel(): void;
  /** Resumes a paused answer. */
  resume(): void;
}
