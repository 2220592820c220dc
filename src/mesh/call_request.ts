/** A caller's request as it travels on, without the headers of one hop. */
export interface CallRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly url: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
