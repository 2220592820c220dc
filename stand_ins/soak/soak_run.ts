/** A request as a backend server ran it. */
export interface SoakRun {
  readonly callIdentifier: string;
  readonly url: string;
  readonly service: string;
  readonly callerService: string;
  /** Name of the organisation that the mesh stated; undefined for none. */
  readonly organisation?: string;
  /** Whether the request had a key. */
  readonly hasKey?: boolean;
  /** Identifier of the incarnation that ran it. */
  readonly server: string;
  /** In milliseconds since the Unix epoch. */
  readonly receivedAt: number;
}
