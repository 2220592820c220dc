/** The headers of a caller's request that the mesh acts on, checked. */
export interface CallHeaders {
  /** In milliseconds since the Unix epoch; undefined where the caller sets none. */
  readonly deadline: number | undefined;
  readonly key: string | undefined;
  /** From `Idempotency-Attempt`. */
  readonly attempt: number | undefined;
  /** From `Idempotency-First-Attempt`, in milliseconds since the Unix epoch. */
  readonly firstAttemptAt: number | undefined;
}
