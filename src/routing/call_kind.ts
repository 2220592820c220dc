/** Whether a call may be sent to backend servers more than once. */
export enum CallKind {
  Idempotent = "idempotent",
  NonIdempotent = "non-idempotent",
}
