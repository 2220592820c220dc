/** Headers of the mesh between nodes, some of which also go to backend servers and callers. */
export enum ForwardedHeader {
  CallIdentifier = "catkinquay-call-identifier",
  Attempt = "catkinquay-attempt",
  BackendServer = "catkinquay-backend-server",
  Method = "catkinquay-method",
  Path = "catkinquay-path",
  Host = "catkinquay-host",
  Deadline = "catkinquay-deadline",
  Priority = "catkinquay-priority",
  Idempotent = "catkinquay-idempotent",
  Key = "catkinquay-key",
  CallerAttempt = "catkinquay-caller-attempt",
  FirstAttempt = "catkinquay-first-attempt",

  /** On every response: the free slots of the backend server. */
  FreeSlots = "catkinquay-free-slots",
  /** On answers to HEAD requests: the value of `Content-Length`. */
  DeclaredLength = "catkinquay-declared-length",
  /** On refusals only. */
  Outcome = "catkinquay-outcome",
  Reason = "catkinquay-reason",
  RetryAt = "catkinquay-retry-at",
  KeySettled = "catkinquay-key-settled",
  /** From a backend server that shed a call: it did not begin to run it. */
  NotRun = "catkinquay-not-run",
}
