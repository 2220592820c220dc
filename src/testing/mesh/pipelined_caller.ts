/** A caller that sends requests one behind another on one connection. */
export interface PipelinedCaller {
  /** Sends a request for each call identifier without waiting for answers. */
  send(...identifiers: readonly string[]): void;
  /** Sends bytes as they are. */
  sendText(text: string): void;
  /** The call identifiers of the answers, in the order in which they arrived. */
  readonly answered: () => readonly string[];
  /** The status codes of all responses, in the order in which they arrived. */
  readonly statuses: () => readonly number[];
  readonly isClosed: () => boolean;
  /** Resets the connection. */
  reset(): void;
}
