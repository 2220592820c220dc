import { type IncomingMessage, request as sendRequest } from "node:http";
import { match } from "ts-pattern";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { selectForwardedHeaders } from "../calls/select_forwarded_headers.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { CallRequest } from "./call_request.ts";
import { ContactLossCause } from "../offers/contact_loss_cause.ts";
import { decodeReply } from "./decode_reply.ts";
import { destroyOnAbort } from "./destroy_on_abort.ts";
import { discardBody } from "./discard_body.ts";
import { encodeOffer } from "./encode_offer.ts";
import type { GateOffer } from "./gate_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { sendWhenConnected } from "./send_when_connected.ts";
import { superviseOffer } from "./supervise_offer.ts";

const unreachableRetryMilliseconds = 300;

/**
 * Offers a call to the node beside a backend server on another VM.
 *
 * If contact ends before the offer was sent, or the node states for certain that
 * it did not arrive, the call has not run. If contact ends otherwise without a
 * reply, the call may have run. The offer of an idempotent
 * call is given up early if the node has sent neither an interim response nor a
 * reply, and queries show that no reply can be expected.
 */
export function offerToNode(
  node: MeshNode,
  request: CallRequest,
  options: {
    readonly offer: GateOffer;
    readonly address: NetworkAddress;
    readonly signal: AbortSignal;
    /** Whether another attempt may follow if this offer is given up. */
    readonly canRetry: boolean;
  },
): Promise<OfferOutcome> {
  const { offer, address, signal, canRetry } = options;
  return new Promise((resolve) => {
    let cause = ContactLossCause.ConnectionEnded;
    let isNotRun = false;
    const outgoing = sendRequest({
      agent: node.nodesAgent,
      host: address.host,
      port: address.port,
      method: request.method,
      path: request.url,
      headers: [
        ...request.headers,
        OfferHeader.Offer,
        encodeOffer(offer, node.clock.now()),
        ...(request.body.length > 0
          ? ["content-length", String(request.body.length)]
          : []),
      ] as unknown as string[],
    });
    destroyOnAbort(outgoing, signal);
    const connection = sendWhenConnected(node, outgoing, request);
    const supervision = offer.idempotent
      ? superviseOffer(node, { offer, address, canRetry, onLost: giveUp })
      : undefined;
    outgoing.once("information", () => supervision?.stop());
    outgoing.once("response", (response) => {
      supervision?.stop();
      resolve(createOutcome(node, response));
    });
    outgoing.on("error", handleEnd);
    // A switch of protocols ends the connection without an error.
    outgoing.once("close", handleEnd);

    function giveUp(
      found: ContactLossCause,
      statement: { readonly isNotRun: boolean },
    ): void {
      cause = found;
      isNotRun = statement.isNotRun;
      outgoing.destroy();
    }

    /** Has no effect after a response. */
    function handleEnd(): void {
      supervision?.stop();
      resolve(
        connection.isSent() && !isNotRun
          ? createLoss(cause)
          : createUnreachableRefusal(),
      );
    }
  });
}

function createLoss(cause: ContactLossCause): OfferOutcome {
  return {
    kind: OfferOutcomeKind.Lost,
    reason: RefusalReason.ContactLost,
    cause,
    load: undefined,
  };
}

function createUnreachableRefusal(): OfferOutcome {
  return {
    kind: OfferOutcomeKind.Refused,
    reason: RefusalReason.ContactLost,
    retryMilliseconds: unreachableRetryMilliseconds,
    reachedBackendServer: false,
    load: undefined,
  };
}

function createOutcome(
  node: MeshNode,
  response: IncomingMessage,
): OfferOutcome {
  const reply = decodeReply(response.headers[OfferHeader.Reply]);
  if (reply === undefined) {
    response.destroy();
    return createLoss(ContactLossCause.ConnectionEnded);
  }
  const { load } = reply;
  if (reply.kind !== OfferOutcomeKind.Answered) discardBody(node, response);
  return match(reply.kind)
    .returnType<OfferOutcome>()
    .with(OfferOutcomeKind.Answered, (kind) => ({
      kind,
      status: response.statusCode ?? 0,
      headers: selectForwardedHeaders(response.rawHeaders),
      framed: reply.framed ?? true,
      body: response,
      load,
    }))
    .with(OfferOutcomeKind.Refused, (kind) => ({
      kind,
      reason: reply.reason ?? RefusalReason.Full,
      retryMilliseconds: reply.retryMilliseconds ?? 0,
      reachedBackendServer: reply.reachedBackendServer ?? false,
      load,
    }))
    .with(OfferOutcomeKind.Lost, (kind) => ({
      kind,
      reason: reply.reason ?? RefusalReason.ContactLost,
      cause: undefined,
      load,
    }))
    .exhaustive();
}
