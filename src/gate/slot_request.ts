/** A request for a slot of the backend server for one call. */
export interface SlotRequest {
  /** Identifies the offer among all offers of all calls; a later offer of the same call may arrive before this one has ended. */
  readonly offerIdentifier: string;
  /** Name of the call's route. */
  readonly route: string;
  /** Returns what identifies the request when it comes again; computed at the first use. */
  readonly getFingerprint: () => string;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Instant until which an answer meets the route's latency goal, in milliseconds since the Unix epoch. */
  readonly goalDeadline: number;
  /** Instant by which the caller must have an answer, in milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Instant until which the call may wait for a slot, in milliseconds since the Unix epoch; a past instant means that it may not wait. */
  readonly waitDeadline: number;
  /** Whether the caller can retry after a refusal. */
  readonly mayComeBack: boolean;
  /** The caller for which room is shared out: an organisation, or a service that calls. */
  readonly shareKey: string;
  /** Whether a backend server makes the call for a call that it runs. */
  readonly isNested: boolean;
}
