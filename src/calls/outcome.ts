/** What a refusal states about the request. */
export enum Outcome {
  /** No backend server has begun, or will begin, to run it. */
  NotRun = "not-run",
  /** A backend server may have run it completely or in part. */
  Unknown = "unknown",
}
