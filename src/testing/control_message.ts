/** One message between nodes, as a script of deliveries sees it. */
export interface ControlMessage {
  /** The sender's address, for example `127.0.0.1:7001`. */
  readonly from: string;
  readonly to: string;
  readonly method: string;
  readonly isAnswer: boolean;
  /** Parameters of a request or the result of an answer. */
  readonly content: unknown;
}
