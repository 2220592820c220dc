/** Limits of the tests with bytes that do not end. */
export const endlessBytesLimits = {
  /** Timeout of the route. */
  timeoutMilliseconds: 500,
  /** The operators allow half a second after the timeout of a route. */
  lateMillisecondsMaximum: 500,
  /** Time after the end of a call until its connection must be closed. */
  closeMillisecondsMaximum: 1_000,
  /** An answer of up to 1 MiB is held; the rest is for both ends of each connection. */
  retainedBytesMaximum: 16 * 1_048_576,
  /** The deadline of the callers of the other calls. */
  otherCallMillisecondsMaximum: 2_000,
  /** Size of the part that is sent again and again. */
  partBytes: 65_536,
} as const;
