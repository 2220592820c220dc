import type { IncomingMessage } from "node:http";
import { match } from "ts-pattern";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { selectForwardedHeaders } from "../calls/select_forwarded_headers.ts";
import { releaseSlot } from "../gate/release_slot.ts";
import { recordAnsweredRequest } from "../quarantine/record_answered_request.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import type { CallRequest } from "./call_request.ts";
import type { CallSignal } from "./call_signal.ts";
import { checkServerCrash } from "./check_server_crash.ts";
import { createOfferRefusal } from "./create_offer_refusal.ts";
import { createQuarantineOfferRefusal } from "./create_quarantine_offer_refusal.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getGateLoad } from "./get_gate_load.ts";
import { getGateLoadOfAnswer } from "./get_gate_load_of_answer.ts";
import { getOwnServerIdentifier } from "./get_own_server_identifier.ts";
import { getStatedBodyBytes } from "./get_stated_body_bytes.ts";
import { getQuarantineMilliseconds } from "./get_quarantine_milliseconds.ts";
import { hasOrganisations } from "./has_organisations.ts";
import { isFramedAnswer } from "./is_framed_answer.ts";
import { isWholeAnswer } from "./is_whole_answer.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { processWaitingCalls } from "./process_waiting_calls.ts";
import { readClocks } from "./read_clocks.ts";
import { recordBackendExchange } from "./record_backend_exchange.ts";
import { reportExchange } from "./report_exchange.ts";
import { selectBackendHeaders } from "./select_backend_headers.ts";
import { sendToBackendServer } from "./send_to_backend_server.ts";
import { unavailableRetryMilliseconds } from "./unavailable_retry_milliseconds.ts";

/**
 * Sends an admitted call to the backend server of this VM. Its slot is released
 * when the answer has been read to its end, the exchange fails or the call is
 * cancelled.
 */
export async function runAdmittedOffer(
  node: MeshNode,
  request: CallRequest,
  options: {
    readonly offer: GateOffer;
    readonly getFingerprint: () => string;
    readonly offeredAt: number;
    readonly signal: CallSignal;
  },
): Promise<OfferOutcome> {
  const { offer, getFingerprint, signal } = options;
  const { callIdentifier, offerIdentifier, idempotent } = offer;
  const started = readClocks(node);
  const startedAt = started.monotonic;
  // The request may have been quarantined while it waited for its slot.
  const retryMilliseconds = getQuarantineMilliseconds(node, getFingerprint);
  if (retryMilliseconds > 0) {
    release(node, { offerIdentifier, answered: false });
    return createQuarantineOfferRefusal(node, { retryMilliseconds });
  }
  const forwarded = selectBackendHeaders(node, {
    headers: request.headers,
    isKeyRequired: offer.organisation !== undefined || hasOrganisations(node),
  });
  // Any other backend server at the address rejects the call.
  const target = getOwnServerIdentifier(node) ?? offer.identifier;
  const headers = node.dialect.addBackendRequestHeaders(forwarded, {
    identifier: target,
    callerService: offer.callerService,
    organisation: offer.organisation,
    remainingMilliseconds: Math.max(1, Math.floor(offer.deadline - startedAt)),
  });
  const exchange = await sendToBackendServer(node, { ...request, headers }, {
    callIdentifier,
    idempotent,
    deadline: offer.deadline,
    signal,
  }).catch((error: unknown) => {
    release(node, { offerIdentifier, answered: false });
    throw error;
  });
  // The result of an exchange that the caller cancelled does not show the state
  // of the backend server, so it is not recorded.
  if (!signal.aborted) {
    recordBackendExchange(node, exchange, { sentAt: started, target });
  }
  reportExchange(node, offer, {
    exchange,
    cancelled: signal.aborted,
    offeredAt: options.offeredAt,
    startedAt,
  });
  if (exchange.kind !== BackendExchangeKind.Answered) {
    const hasCrashed = !signal.aborted &&
      exchange.kind === BackendExchangeKind.Broken &&
      await checkServerCrash(node);
    release(node, { offerIdentifier, answered: false });
    return hasCrashed
      ? createCrashOutcome(node)
      : createFailedOutcome(node, exchange.kind);
  }
  const { answer } = exchange;
  releaseAtClose(node, { offerIdentifier, getFingerprint, answer, signal });
  return {
    kind: OfferOutcomeKind.Answered,
    status: answer.statusCode ?? 0,
    headers: selectForwardedHeaders(answer.rawHeaders),
    framed: isFramedAnswer(answer),
    bodyBytes: getStatedBodyBytes(answer, request.method),
    body: answer,
    load: getGateLoadOfAnswer(node, offer.route),
  };
}

function release(
  node: MeshNode,
  options: { readonly offerIdentifier: string; readonly answered: boolean },
): void {
  releaseSlot(node.gate, { ...options, now: node.clock.now() });
  processWaitingCalls(node);
}

function releaseAtClose(
  node: MeshNode,
  options: {
    readonly offerIdentifier: string;
    readonly getFingerprint: () => string;
    readonly answer: IncomingMessage;
    readonly signal: CallSignal;
  },
): void {
  const { offerIdentifier, getFingerprint, answer, signal } = options;
  function onClose(): void {
    const answered = isWholeAnswer(answer);
    if (answered) {
      const now = node.clock.now();
      recordAnsweredRequest(node.quarantine, {
        fingerprint: getFingerprint(),
        now,
      });
    } else if (!signal.aborted) {
      void checkServerCrash(node);
    }
    release(node, { offerIdentifier, answered });
  }
  if (answer.closed) {
    onClose();
    return;
  }
  answer.once("close", onClose);
}

function createCrashOutcome(node: MeshNode): OfferOutcome {
  return {
    kind: OfferOutcomeKind.Lost,
    reason: RefusalReason.BackendServerCrashed,
    cause: undefined,
    load: getGateLoad(node),
  };
}

function createFailedOutcome(
  node: MeshNode,
  kind: Exclude<BackendExchangeKind, BackendExchangeKind.Answered>,
): OfferOutcome {
  return match(kind)
    .returnType<OfferOutcome>()
    .with(BackendExchangeKind.NotRun, () =>
      createOfferRefusal(node, {
        reason: RefusalReason.Full,
        retryMilliseconds: node.gate.serviceMilliseconds,
        reachedBackendServer: true,
      }))
    .with(
      BackendExchangeKind.ConnectionRejected,
      () =>
        createOfferRefusal(node, {
          reason: RefusalReason.Full,
          retryMilliseconds: node.gate.serviceMilliseconds,
        }),
    )
    .with(BackendExchangeKind.Misdirected, () =>
      createOfferRefusal(node, {
        reason: RefusalReason.BackendServerUnknown,
        retryMilliseconds: unavailableRetryMilliseconds,
        reachedBackendServer: true,
      }))
    .with(BackendExchangeKind.NotConnected, () =>
      createOfferRefusal(node, {
        reason: RefusalReason.BackendServerDown,
        retryMilliseconds: unavailableRetryMilliseconds,
      }))
    .with(BackendExchangeKind.Broken, () => ({
      kind: OfferOutcomeKind.Lost,
      reason: RefusalReason.AnswerBroken,
      cause: undefined,
      load: getGateLoad(node),
    }))
    .exhaustive();
}
