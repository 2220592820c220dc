/** The capacity of a backend server, the calls it runs, and counts of calls beyond its capacity. */
export interface CapacityState {
  readonly slots: number;
  readonly coldSlots: number;
  readonly warmUpAnswers: number;
  readonly fallMilliseconds: number;
  readonly running: number;
  /** Complete answers since the cold start, at most `warmUpAnswers`. */
  readonly answersSinceColdStart: number;
  /** The end of the period after a collapse in which every call is shed, in milliseconds since the Unix epoch. */
  readonly shedsAllUntil: number;
  /** Calls that arrived while all usable slots were occupied, since `overloadWindowStartedAt`. */
  readonly overloadsInWindow: number;
  /** In milliseconds since the Unix epoch. */
  readonly overloadWindowStartedAt: number;
  readonly draining: boolean;
  /** Calls that arrived while all usable slots were occupied, since the start. */
  readonly overloadEvents: number;
  /** How often it collapsed under full load while cold. */
  readonly falls: number;
  readonly peakRunning: number;
  /** Calls that were shed for any reason. */
  readonly shed: number;
}
