/** The status code and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Alternating names and values, without hop-by-hop headers and headers of the mesh. */
  readonly headers: readonly string[];
  /** The value of `Content-Length`; undefined for a chunked answer. */
  readonly declaredLength: number | undefined;
}
