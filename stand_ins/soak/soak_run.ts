/** A request as a backend server ran it. */
export interface SoakRun {
  readonly callIdentifier: string;
  readonly url: string;
  readonly service: string;
  readonly callerService: string;
  /** Identifier of the incarnation that ran it. */
  readonly server: string;
  /** In milliseconds since the Unix epoch. */
  readonly receivedAt: number;
}
