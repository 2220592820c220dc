/** What a backend server can bear, and what was sent to it beyond that. */
export interface CapacityState {
  readonly slots: number;
  readonly coldSlots: number;
  readonly warmUpAnswers: number;
  readonly fallMilliseconds: number;
  readonly running: number;
  /** Whole answers since the cold start, up to `warmUpAnswers`. */
  readonly answersSinceColdStart: number;
  /** Until when everything is shed, in milliseconds since the Unix epoch. */
  readonly fallenUntil: number;
  /** Calls beyond what it could bear since `overloadsSince`. */
  readonly recentOverloads: number;
  readonly overloadsSince: number;
  readonly draining: boolean;
  /** Calls that arrived while as many ran as it could bear. */
  readonly overloadEvents: number;
  /** How often full load met it while cold. */
  readonly falls: number;
  readonly peakRunning: number;
  readonly shed: number;
}
