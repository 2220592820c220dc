/** The headers of a backend server's answer that the mesh evaluates. */
export interface BackendAnswerHead {
  /**
   * Identifier of the call that is answered; undefined if the header is
   * missing.
   */
  readonly callIdentifier: string | undefined;
  /** Whether the backend server states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the answer carries the backend server's signature. */
  readonly signed: boolean;
  /** Whether the body has a content encoding, although none was requested. */
  readonly encoded: boolean;
  /** Whether another incarnation than the intended one answered. */
  readonly misdirected: boolean;
  /**
   * Identifier of the incarnation that answered; undefined if the header is
   * missing.
   */
  readonly identifier: string | undefined;
  /** Remaining time of the cold start; undefined if the header is missing. */
  readonly coldMilliseconds: number | undefined;
  /**
   * The most calls a second that the backend server takes from all nodes
   * together; undefined if it states no limit.
   */
  readonly callsPerSecondLimit: number | undefined;
  /** Whether the backend server states that it is about to leave. */
  readonly leaving: boolean;
}
