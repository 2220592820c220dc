/** How the stand-in store misbehaves. */
export enum StoreFault {
  None = "none",
  /** Answers 503. */
  Busy = "busy",
  /** Ends connections. */
  Reset = "reset",
  /** Never answers. */
  Silent = "silent",
  /** Answers without end. */
  Oversized = "oversized",
  /** Answers that are not JSON. */
  Garbled = "garbled",
}
