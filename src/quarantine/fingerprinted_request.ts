/** The parts of a request that identify it when it comes again. */
export interface FingerprintedRequest {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly url: string;
  /** The service of the VM where the request began. */
  readonly callerService: string;
  readonly body: Buffer;
}
