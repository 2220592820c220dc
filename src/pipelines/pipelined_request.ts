/** A request of a connection and what happens to it. */
export interface PipelinedRequest {
  /** Begins the work on the request; called at most once. */
  readonly begin: () => void;
  /** Cancels the work on a request that was begun. */
  readonly cancel: () => void;
}
