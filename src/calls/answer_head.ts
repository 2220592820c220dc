/** Status line and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, without headers of one hop and of the mesh. */
  readonly headers: readonly string[];
  /** The value of `Content-Length`; undefined for a chunked answer. */
  readonly declaredLength: number | undefined;
}
