import type { RefusalDefinition } from "./refusal_definition.ts";
import { RefusalReason } from "./refusal_reason.ts";

/** Status code, texts and suggested delay of every refusal, by reason. The texts go to callers. */
export const refusalTable: Readonly<
  Record<RefusalReason, RefusalDefinition>
> = {
  [RefusalReason.NodeStarting]: {
    status: 503,
    title: "Node starting",
    detail: "The node has started and does not run such a request yet",
    retryMilliseconds: 300,
  },
  [RefusalReason.ConfirmingView]: {
    status: 503,
    title: "Node confirming its view",
    detail: "The node was paused and is checking its view with its peers",
    retryMilliseconds: 1000,
  },
  [RefusalReason.NodeDraining]: {
    status: 503,
    title: "Node stopping",
    detail: "The node is stopping; ask another one",
    retryMilliseconds: 0,
  },
  [RefusalReason.BackendServerDraining]: {
    status: 503,
    title: "Backend server draining",
    detail: "The backend server finishes its work and takes nothing new",
    retryMilliseconds: 1000,
  },
  [RefusalReason.BackendServerLeaving]: {
    status: 503,
    title: "Backend server leaving",
    detail: "The backend server is marked as leaving and takes nothing new",
    retryMilliseconds: 1000,
  },
  [RefusalReason.BackendServerCrashed]: {
    status: 502,
    title: "Backend server crashed",
    detail: "The backend server ended while it ran the request",
    retryMilliseconds: 1000,
  },
  [RefusalReason.RequestQuarantined]: {
    status: 503,
    title: "Request quarantined",
    detail:
      "Backend servers have crashed while they ran this request; it is not sent to further ones",
    retryMilliseconds: 10000,
  },
  [RefusalReason.BackendServerDown]: {
    status: 503,
    title: "Backend server down",
    detail: "The backend server cannot be reached",
    retryMilliseconds: 1000,
  },
  [RefusalReason.BackendServerUnknown]: {
    status: 503,
    title: "Backend server unknown",
    detail: "The node that was asked stands beside no such backend server",
    retryMilliseconds: 1000,
  },
  [RefusalReason.ZoneTakenOut]: {
    status: 503,
    title: "Zone taken out",
    detail: "The availability zone takes no new work",
    retryMilliseconds: 1000,
  },
  [RefusalReason.Full]: {
    status: 503,
    title: "No free slot",
    detail: "Every slot is taken and the queue is full or too slow",
    retryMilliseconds: 1000,
  },
  [RefusalReason.ColdStart]: {
    status: 503,
    title: "Cold start",
    detail: "The backend server is in cold start and takes few calls",
    retryMilliseconds: 1000,
  },
  [RefusalReason.RateLimited]: {
    status: 503,
    title: "Rate limit",
    detail: "The backend server has asked for fewer calls than arrive",
    retryMilliseconds: 1000,
  },
  [RefusalReason.QuotaExceeded]: {
    status: 429,
    title: "Quota exceeded",
    detail: "The organisation has made more calls than its quota allows",
    retryMilliseconds: 1000,
  },
  [RefusalReason.QuotaUnconfirmed]: {
    status: 503,
    title: "Quota unconfirmed",
    detail: "The node cannot confirm the quota of the organisation for now",
    retryMilliseconds: 500,
  },
  [RefusalReason.DeadlinePassed]: {
    status: 504,
    title: "Deadline passed",
    detail: "The deadline of the request has passed",
    retryMilliseconds: 0,
  },
  [RefusalReason.NoRoute]: {
    status: 404,
    title: "No route",
    detail: "No route of the configuration in force fits the request",
    retryMilliseconds: 30000,
  },
  [RefusalReason.NoBackendServer]: {
    status: 503,
    title: "No backend server",
    detail: "No backend server of the service may take work",
    retryMilliseconds: 2000,
  },
  [RefusalReason.RetryBudgetSpent]: {
    status: 503,
    title: "Retry budget spent",
    detail: "The request was refused and the nodes make no more tries for now",
    retryMilliseconds: 1000,
  },
  [RefusalReason.OfferWithdrawn]: {
    status: 503,
    title: "Offer withdrawn",
    detail: "The node that received the call stops; the call will not run",
    retryMilliseconds: 0,
  },
  [RefusalReason.Fenced]: {
    status: 503,
    title: "Call fenced",
    detail:
      "The outcome was asked for before the call arrived; it will not run",
    retryMilliseconds: 0,
  },
  [RefusalReason.ContactLost]: {
    status: 502,
    title: "Contact lost",
    detail:
      "Contact to the node beside the backend server was lost and the outcome is not known",
    retryMilliseconds: 1000,
  },
  [RefusalReason.AnswerBroken]: {
    status: 502,
    title: "Answer broken",
    detail: "The answer of the backend server was cut or malformed",
    retryMilliseconds: 1000,
  },
  [RefusalReason.RejectionUnconfirmed]: {
    status: 502,
    title: "Rejection not confirmed",
    detail:
      "The backend server rejected the request and did not state that it has not run",
    retryMilliseconds: 1000,
  },
  [RefusalReason.InternalError]: {
    status: 502,
    title: "Internal error",
    detail: "An unexpected error ended the request at the node",
    retryMilliseconds: 1000,
  },
  [RefusalReason.ApiKeyMissing]: {
    status: 401,
    title: "API key required",
    detail: "The route requires an API key, and the request has none",
    retryMilliseconds: 5000,
  },
  [RefusalReason.ApiKeyUnknown]: {
    status: 401,
    title: "API key unknown",
    detail: "The API key is not valid",
    retryMilliseconds: 5000,
  },
  [RefusalReason.ApiKeysUnconfirmed]: {
    status: 503,
    title: "API keys unconfirmed",
    detail:
      "The node has not read the configuration recently enough to decide on API keys; ask another one",
    retryMilliseconds: 1000,
  },
  [RefusalReason.KeyRequired]: {
    status: 428,
    title: "Idempotency key required",
    detail: 'The route requires the header "Idempotency-Key" for this method',
    retryMilliseconds: 0,
  },
  [RefusalReason.KeyMismatch]: {
    status: 422,
    title: "Idempotency key reused",
    detail: "The key was used before with a different request",
    retryMilliseconds: 0,
  },
  [RefusalReason.KeyRunning]: {
    status: 409,
    title: "Request with this key running",
    detail: "A request with the same key is running",
    retryMilliseconds: 500,
  },
  [RefusalReason.KeyUnsettled]: {
    status: 409,
    title: "Idempotency key unsettled",
    detail:
      "An earlier request with the same key may have run where the ledger cannot see it",
    retryMilliseconds: 5000,
  },
  [RefusalReason.RequestInvalid]: {
    status: 400,
    title: "Request invalid",
    detail: "The request is malformed",
    retryMilliseconds: 0,
  },
  [RefusalReason.RequestTooLarge]: {
    status: 413,
    title: "Request too large",
    detail: "The request is larger than the node accepts",
    retryMilliseconds: 0,
  },
  [RefusalReason.HeaderTooLarge]: {
    status: 431,
    title: "Request header too large",
    detail: "The headers of the request are larger than the operators allow",
    retryMilliseconds: 0,
  },
  [RefusalReason.CallerLeft]: {
    status: 499,
    title: "Caller left",
    detail: "The caller left before the answer",
    retryMilliseconds: 0,
  },
};
