/** The validated headers of a caller's request that the mesh evaluates. */
export interface CallHeaders {
  /** From `Request-Deadline`, in milliseconds since the Unix epoch; undefined if absent. */
  readonly deadline: number | undefined;
  readonly key: string | undefined;
  /** From `Idempotency-Attempt`. */
  readonly attempt: number | undefined;
  /** From `Idempotency-First-Attempt`, in milliseconds since the Unix epoch. */
  readonly firstAttemptAt: number | undefined;
}
