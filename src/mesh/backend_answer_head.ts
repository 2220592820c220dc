/** What a backend server says in the headers of an answer. */
export interface BackendAnswerHead {
  /** The call that it answers; undefined where it does not say. */
  readonly callIdentifier: string | undefined;
  /** Whether the backend server states that it did not run the request. */
  readonly notRun: boolean;
  /** Whether the answer bears the backend server's signature. */
  readonly signed: boolean;
  /** Whether the body is in an encoding that nobody asked for. */
  readonly encoded: boolean;
  /** Whether another incarnation than the expected one answered. */
  readonly misdirected: boolean;
  /** The incarnation that answered; undefined where it does not say. */
  readonly identifier: string | undefined;
  /** How long it stays in cold start; undefined where it does not say. */
  readonly coldMilliseconds: number | undefined;
}
