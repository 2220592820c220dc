/** Whether a request may be sent to a backend server more than once. */
export enum CallKind {
  Idempotent = "idempotent",
  NonIdempotent = "non-idempotent",
}
