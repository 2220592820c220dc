/** What a refusal says about the request. */
export enum Outcome {
  /** No backend server has begun, or will begin, to run it. */
  NotRun = "not-run",
  /** A backend server may have run it in whole or in part. */
  Unknown = "unknown",
}
