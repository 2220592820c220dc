import type { IncomingMessage } from "node:http";
import { match } from "ts-pattern";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { selectPassedHeaders } from "../calls/select_passed_headers.ts";
import { requestSlot } from "../gate/request_slot.ts";
import { releaseSlot } from "../gate/release_slot.ts";
import { SlotDecisionKind } from "../gate/slot_decision_kind.ts";
import { withdrawSlotRequest } from "../gate/withdraw_slot_request.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallRequest } from "./call_request.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getGateLoad } from "./get_gate_load.ts";
import { getOwnIdentifier } from "./get_own_identifier.ts";
import { isFramedAnswer } from "./is_framed_answer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { noteBackendExchange } from "./note_backend_exchange.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { sendToBackendServer } from "./send_to_backend_server.ts";
import { settleWaitingCalls } from "./settle_waiting_calls.ts";

/** When to come back to a backend server that is not the one that was meant. */
const unknownRetryMilliseconds = 200;

/**
 * Offers a call to the backend server of this VM: admission first, then the
 * request itself. The slot is held until the answer has been read to its end
 * or the call is cut.
 */
export function offerToOwnServer(
  node: MeshNode,
  request: CallRequest,
  options: { readonly offer: GateOffer; readonly signal: AbortSignal },
): Promise<OfferOutcome> {
  const { offer, signal } = options;
  if (offer.service !== node.settings.service) {
    return Promise.resolve(refuse(node, {
      reason: RefusalReason.BackendServerUnknown,
      retryMilliseconds: unknownRetryMilliseconds,
    }));
  }
  const offeredAt = node.clock.now();
  const decision = requestSlot(node.gate, offer, { now: offeredAt });
  return match(decision)
    .with(
      { kind: SlotDecisionKind.Granted },
      () => runOffer(node, request, { ...options, offeredAt }),
    )
    .with(
      { kind: SlotDecisionKind.Refused },
      (refused) => Promise.resolve(refuse(node, refused)),
    )
    .with({ kind: SlotDecisionKind.Queued }, () => {
      reportQueued(node, offer);
      return waitForSlot(node, { offer, signal }).then((refused) =>
        refused ?? runOffer(node, request, { ...options, offeredAt })
      );
    })
    .exhaustive();
}

function reportQueued(node: MeshNode, offer: GateOffer): void {
  const { running, queued, slots } = getGateLoad(node);
  node.report.call({
    kind: CallEventKind.Queued,
    call: offer.callIdentifier,
    route: offer.route,
    service: offer.service,
    running,
    queued,
    slots,
  });
}

/** Resolves with undefined where a slot was granted. */
function waitForSlot(
  node: MeshNode,
  options: { readonly offer: GateOffer; readonly signal: AbortSignal },
): Promise<OfferOutcome | undefined> {
  const { offer: { callIdentifier }, signal } = options;
  const waiting = new Promise<OfferOutcome | undefined>((resolve) => {
    function onAbort(): void {
      node.slotWaiters.delete(callIdentifier);
      withdrawSlotRequest(node.gate, callIdentifier);
      resolve(
        refuse(node, {
          reason: RefusalReason.CallerLeft,
          retryMilliseconds: 0,
        }),
      );
    }
    signal.addEventListener("abort", onAbort, { once: true });
    node.slotWaiters.set(callIdentifier, {
      onGranted: () => {
        signal.removeEventListener("abort", onAbort);
        resolve(undefined);
      },
      onRefused: (reason, retryMilliseconds) => {
        signal.removeEventListener("abort", onAbort);
        resolve(refuse(node, { reason, retryMilliseconds }));
      },
    });
  });
  // Sets the timer that ends the wait.
  settleWaitingCalls(node);
  return waiting;
}

async function runOffer(
  node: MeshNode,
  request: CallRequest,
  options: {
    readonly offer: GateOffer;
    readonly offeredAt: number;
    readonly signal: AbortSignal;
  },
): Promise<OfferOutcome> {
  const { offer, signal } = options;
  const { callIdentifier } = offer;
  const startedAt = node.clock.now();
  const headers = node.dialect.markBackendRequest(request.headers, {
    identifier: getOwnIdentifier(node) ?? offer.identifier,
    callerService: offer.callerService,
    remainingMilliseconds: Math.max(
      1,
      Math.floor(offer.deadline - node.clock.now()),
    ),
  });
  const exchange = await sendToBackendServer(node, { ...request, headers }, {
    callIdentifier,
    idempotent: offer.idempotent,
    signal,
  });
  const release = (answered: boolean) => {
    const now = node.clock.now();
    releaseSlot(node.gate, { callIdentifier, answered, now });
    settleWaitingCalls(node);
  };
  if (!signal.aborted) noteBackendExchange(node, exchange);
  node.report.call({
    kind: CallEventKind.Exchanged,
    call: callIdentifier,
    route: offer.route,
    service: offer.service,
    outcome: exchange.kind,
    waitedMilliseconds: Math.round(startedAt - options.offeredAt),
    elapsedMilliseconds: Math.round(node.clock.now() - startedAt),
  });
  return match(exchange)
    .with({ kind: BackendExchangeKind.Answered }, ({ answer }) => {
      releaseAtEnd(answer, release);
      return {
        kind: OfferOutcomeKind.Answered as const,
        status: answer.statusCode ?? 0,
        headers: selectPassedHeaders(answer.rawHeaders),
        framed: isFramedAnswer(answer),
        body: answer,
        load: getGateLoad(node),
      };
    })
    .otherwise(({ kind }) => {
      release(false);
      return getFailedOutcome(node, kind);
    });
}

function releaseAtEnd(
  answer: IncomingMessage,
  release: (answered: boolean) => void,
): void {
  answer.once("close", () => release(answer.complete));
}

function getFailedOutcome(
  node: MeshNode,
  kind: Exclude<BackendExchangeKind, BackendExchangeKind.Answered>,
): OfferOutcome {
  return match(kind)
    .with(BackendExchangeKind.TurnedAway, () => ({
      ...refuse(node, {
        reason: RefusalReason.Full,
        retryMilliseconds: node.gate.serviceMilliseconds,
      }),
      reachedBackendServer: true,
    }))
    .with(BackendExchangeKind.Misdirected, () => ({
      ...refuse(node, {
        reason: RefusalReason.BackendServerUnknown,
        retryMilliseconds: unknownRetryMilliseconds,
      }),
      reachedBackendServer: true,
    }))
    .with(BackendExchangeKind.NotConnected, () =>
      refuse(node, {
        reason: RefusalReason.BackendServerDown,
        retryMilliseconds: unknownRetryMilliseconds,
      }))
    .with(BackendExchangeKind.Broken, () => ({
      kind: OfferOutcomeKind.Lost as const,
      reason: RefusalReason.AnswerBroken,
      load: getGateLoad(node),
    }))
    .exhaustive();
}

function refuse(
  node: MeshNode,
  refusal: {
    readonly reason: RefusalReason;
    readonly retryMilliseconds: number;
  },
) {
  return {
    kind: OfferOutcomeKind.Refused as const,
    reason: refusal.reason,
    retryMilliseconds: refusal.retryMilliseconds,
    reachedBackendServer: false,
    load: getGateLoad(node),
  };
}
