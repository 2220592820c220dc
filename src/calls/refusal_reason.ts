/** Reasons for which the mesh refuses a call. */
export enum RefusalReason {
  /**
   * The node has no configuration in force yet, or its ledger began too recently
   * to allow a key to run.
   */
  NodeStarting = "node-starting",
  /** The node was paused and is confirming its view. */
  ConfirmingView = "confirming-view",
  /** The node is stopping. */
  NodeDraining = "node-draining",
  BackendServerDraining = "backend-server-draining",
  BackendServerLeaving = "backend-server-leaving",
  /** The backend server ended while it ran the call. */
  BackendServerCrashed = "backend-server-crashed",
  /** Backend servers crashed while they ran the same request. */
  RequestQuarantined = "request-quarantined",
  BackendServerDown = "backend-server-down",
  /** The node that received the call is not beside this backend server. */
  BackendServerUnknown = "backend-server-unknown",
  ZoneTakenOut = "zone-taken-out",
  /** All slots are in use, and the queue is full or its expected wait is too long. */
  Full = "full",
  /** Like `Full`, while the backend server is in cold start. */
  ColdStart = "cold-start",
  /** Like `Full`, while the backend server states a rate limit, which is used up. */
  RateLimited = "rate-limited",
  /** The organisation of the caller has used up its quota over all nodes. */
  QuotaExceeded = "quota-exceeded",
  /** The node that grants the quota cannot be reached, and its deputy has no token left. */
  QuotaUnconfirmed = "quota-unconfirmed",
  DeadlinePassed = "deadline-passed",
  NoRoute = "no-route",
  /** No backend server of the service may receive new calls. */
  NoBackendServer = "no-backend-server",
  RetryBudgetSpent = "retry-budget-spent",
  /** The outcome was queried before the call arrived, so the call was fenced. */
  Fenced = "fenced",
  /** The node that offered the call took it back before it had a slot. */
  OfferWithdrawn = "offer-withdrawn",
  /**
   * The connection was lost after the call was forwarded, and the outcome could
   * not be determined.
   */
  ContactLost = "contact-lost",
  /** The answer of the backend server was truncated or malformed. */
  AnswerBroken = "answer-broken",
  /** The backend server rejected the call, but did not state that it has not run. */
  RejectionUnconfirmed = "rejection-unconfirmed",
  /** An unexpected error ended the call at the node. */
  InternalError = "internal-error",
  /** The route requires an API key, and the request has none. */
  ApiKeyMissing = "api-key-missing",
  /** No organisation of the rules in force holds the API key. */
  ApiKeyUnknown = "api-key-unknown",
  /** The rules may be too old to decide on API keys. */
  ApiKeysUnconfirmed = "api-keys-unconfirmed",
  /** The route requires an idempotency key. */
  KeyRequired = "key-required",
  /** The key was used before with a different request. */
  KeyMismatch = "key-mismatch",
  /** A request with the same key is running. */
  KeyRunning = "key-running",
  /**
   * An earlier request with the same key may have run, and the ledger cannot
   * determine whether it did.
   */
  KeyUnsettled = "key-unsettled",
  RequestInvalid = "request-invalid",
  RequestTooLarge = "request-too-large",
  HeaderTooLarge = "header-too-large",
  /** The caller left, so the refusal is not sent to anyone. */
  CallerLeft = "caller-left",
}
