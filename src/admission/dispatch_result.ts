/** How a dispatched call ended, as the limit's controller sees it. */
export enum DispatchResult {
  /** Answered whole. */
  Answered = "answered",
  /** The backend server shed the call (HTTP status 503 or 429). */
  Shed = "shed",
  /** The backend server refused the connection. */
  ConnectionRefused = "connection-refused",
  /** The answer was cut, malformed, or did not come before the deadline. */
  Broken = "broken",
  /** The caller left and the call was cancelled; the slot is free only once the backend server lets go. */
  Cancelled = "cancelled",
}
