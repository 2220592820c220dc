/** A call that occupies a slot. */
export interface RunningCall {
  /** Name of the call's route. */
  readonly route: string;
  /** Identifies the request when it comes again. */
  readonly fingerprint: string;
  /** When the call got its slot, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
}
