/** The way in which the store stand-in fails requests. */
export enum StoreFault {
  None = "none",
  /** Responds with status 503. */
  Busy = "busy",
  /** Resets connections. */
  Reset = "reset",
  /** Never responds. */
  Silent = "silent",
  /** Sends a response that never ends. */
  Oversized = "oversized",
  /** Sends responses that are not valid JSON. */
  Garbled = "garbled",
}
