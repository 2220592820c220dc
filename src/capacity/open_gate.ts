/** A gate that may receive calls, as far as its room is concerned. */
export interface OpenGate {
  /** Identifier of the backend server. */
  readonly identifier: string;
  readonly zone: string;
  readonly slots: number;
  /**
   * End of the cold start, in milliseconds since the Unix epoch; 0 for none.
   */
  readonly coldUntil: number;
  /** Mean time to an answer for calls of the route, in milliseconds. */
  readonly answerMilliseconds: number;
}
