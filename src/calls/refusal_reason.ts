/** Why a call was not answered by a backend server. */
export enum RefusalReason {
  /** The node has no configuration in force yet, or its ledger is too young to run a key. */
  NodeStarting = "node-starting",
  /** The node was paused and is checking its view. */
  ConfirmingView = "confirming-view",
  /** The node is stopping. */
  NodeDraining = "node-draining",
  BackendServerDraining = "backend-server-draining",
  BackendServerLeaving = "backend-server-leaving",
  BackendServerDown = "backend-server-down",
  /** The node asked stands beside no such backend server. */
  BackendServerUnknown = "backend-server-unknown",
  ZoneTakenOut = "zone-taken-out",
  /** Every slot is taken and the queue is full or would be too slow. */
  Full = "full",
  /** As `Full`, while the backend server is in cold start. */
  ColdStart = "cold-start",
  DeadlinePassed = "deadline-passed",
  NoRoute = "no-route",
  /** No backend server of the service may take work. */
  NoBackendServer = "no-backend-server",
  RetryBudgetSpent = "retry-budget-spent",
  /** The outcome was asked for before the call arrived, and the call was fenced. */
  Fenced = "fenced",
  /** Contact was lost after the hand-over and the outcome could not be learnt. */
  ContactLost = "contact-lost",
  /** The backend server's answer was cut or malformed. */
  AnswerBroken = "answer-broken",
  KeyRequired = "key-required",
  /** The key was used before with a different request. */
  KeyMismatch = "key-mismatch",
  /** A request with the same key is running. */
  KeyRunning = "key-running",
  /** An earlier request with the same key may have run where the ledger cannot see it. */
  KeyUnsettled = "key-unsettled",
  RequestInvalid = "request-invalid",
  RequestTooLarge = "request-too-large",
  HeaderTooLarge = "header-too-large",
  /** The caller left; nobody reads this refusal. */
  CallerLeft = "caller-left",
}
