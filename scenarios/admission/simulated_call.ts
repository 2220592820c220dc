/** A call that a scenario sends to the node, and what happened to it. */
export interface SimulatedCall {
  readonly callIdentifier: string;
  /** When it arrived at the node, in milliseconds since the Unix epoch. */
  readonly arrivedAt: number;
  /** The reason of the refusal; undefined if it was admitted or is not decided yet. */
  refusalReason: string | undefined;
  /** When the backend server started to run it; undefined if it never did. */
  startedAt: number | undefined;
  /** Whether the backend server shed it. */
  shed: boolean;
}
