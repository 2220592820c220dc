/** What became of one call that asked for a slot. */
export interface SimulatedCall {
  readonly callIdentifier: string;
  readonly arrivedAt: number;
  /** The reason of the refusal; undefined where it was admitted or is undecided. */
  refusalReason: string | undefined;
  /** When it began to run at the backend server; undefined where it never did. */
  startedAt: number | undefined;
  shed: boolean;
}
