/** Whether backend servers may run a call more than once. */
export enum CallKind {
  Idempotent = "idempotent",
  NonIdempotent = "non-idempotent",
}
