/** The incarnation that stated that it is about to leave. */
export interface ServerDeparture {
  readonly identifier: string;
  /**
   * Start of the incarnation in the register, in milliseconds since the Unix
   * epoch; missing if the node beside it had no entry of it.
   */
  readonly bornAt?: number;
}
