/** How a dispatched call ended, as far as it matters to the limit controller. */
export enum DispatchResult {
  /** The backend server returned a complete answer. */
  Answered = "answered",
  /** The backend server shed the call (HTTP status 503 or 429). */
  Shed = "shed",
  /** The backend server refused the connection. */
  ConnectionRefused = "connection-refused",
  /** The answer was truncated, malformed, or did not arrive before the deadline. */
  Broken = "broken",
  /**
   * The caller left and the call was cancelled. The slot stays occupied until
   * the backend server stops running the call.
   */
  Cancelled = "cancelled",
}
