/** A caller's request as it is forwarded, without hop-by-hop headers. */
export interface CallRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly url: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}
