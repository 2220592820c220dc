/** A call that occupies a slot. */
export interface RunningCall {
  /** Name of the call's route. */
  readonly route: string;
  /** Returns what identifies the request when it comes again; computed at the first use. */
  readonly getFingerprint: () => string;
  readonly isNested: boolean;
  /** The caller for which room is shared out. */
  readonly shareKey: string;
  /** When the call got its slot, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
}
