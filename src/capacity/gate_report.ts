/** What a node learned last of the room at one gate. */
export interface GateReport {
  /** When it was learned, in milliseconds since the Unix epoch. */
  readonly reportedAt: number;
  /**
   * When the gate expected to start a further call, in milliseconds since the
   * Unix epoch.
   */
  readonly freeAt: number;
  /** Priority of the call that the gate refused; 0 is the highest. */
  readonly priority: number;
}
