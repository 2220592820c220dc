/** The mesh's headers between nodes, and of those some towards backend servers and callers. */
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

  /** On every answer: free slots of the backend server. */
  FreeSlots = "catkinquay-free-slots",
  /** On answers to HEAD: the value of `Content-Length`. */
  DeclaredLength = "catkinquay-declared-length",
  /** On refusals alone. */
  Outcome = "catkinquay-outcome",
  Reason = "catkinquay-reason",
  RetryAt = "catkinquay-retry-at",
  KeySettled = "catkinquay-key-settled",
  /** From a backend server that shed a call without beginning to run it. */
  NotRun = "catkinquay-not-run",
}
