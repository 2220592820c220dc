/** One control message between nodes: a request or the response to one. */
export interface ControlMessage {
  /** The sender's address, for example `127.0.0.1:7001`. */
  readonly from: string;
  readonly to: string;
  readonly method: string;
  /** Whether this is the response to a request that `to` sent. */
  readonly isResponse: boolean;
  /** The parameters of a request, or the result in a response. */
  readonly content: unknown;
}
