import { type IncomingMessage, request as sendRequest } from "node:http";
import { frameBytes } from "../frames/frame_bytes.ts";
import { selectForwardedHeaders } from "../calls/select_forwarded_headers.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { CallRequest } from "./call_request.ts";
import { ContactLossCause } from "../offers/contact_loss_cause.ts";
import type { CallSignal } from "./call_signal.ts";
import { createAnswerCheck } from "./create_answer_check.ts";
import { createContactLoss } from "./create_contact_loss.ts";
import { createReplyOutcome } from "./create_reply_outcome.ts";
import { createUnreachableRefusal } from "./create_unreachable_refusal.ts";
import { decodeReply } from "./decode_reply.ts";
import { destroyOnAbort } from "./destroy_on_abort.ts";
import { destroyOnReset } from "./destroy_on_reset.ts";
import { discardBody } from "./discard_body.ts";
import { encodeOffer } from "./encode_offer.ts";
import type { GateOffer } from "./gate_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { offerOnConnection } from "./offer_on_connection.ts";
import { openOfferConnection } from "./open_offer_connection.ts";
import { offerProtocol } from "./offer_protocol.ts";
import { OfferHeader } from "./offer_header.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { sendWhenConnected } from "./send_when_connected.ts";
import { superviseOffer } from "./supervise_offer.ts";

/**
 * Offers a call to the node beside a backend server on another VM.
 *
 * If contact ends before the offer was sent, or the node states for certain that
 * it did not arrive, the call has not run. If contact ends otherwise without a
 * reply, the call may have run. The offer of an idempotent
 * call is given up early if the node has sent neither an interim response nor a
 * reply, and queries show that no reply can be expected.
 *
 * The offer is sent on the offer connection to that node if there is one, and
 * otherwise as an HTTP message. A node that accepts offer connections announces
 * it in its replies; nodes of earlier versions do not.
 */
export function offerToNode(
  node: MeshNode,
  request: CallRequest,
  options: {
    readonly offer: GateOffer;
    readonly address: NetworkAddress;
    readonly signal: CallSignal;
    /** Whether another attempt may follow if this offer is given up. */
    readonly canRetry: boolean;
  },
): Promise<OfferOutcome> {
  const { offer, address, signal, canRetry } = options;
  const connection = node.offerConnections.open.get(address.host);
  if (
    connection?.canSend(node.clock.now()) === true &&
    request.body.byteLength <= frameBytes.requestBodyMaximum
  ) {
    return offerOnConnection(node, request, { ...options, connection });
  }
  return new Promise((resolve) => {
    let cause = ContactLossCause.ConnectionEnded;
    let isNotRun = false;
    let hasReply = false;
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
    const isProperAnswer = createAnswerCheck(outgoing);
    const sending = sendWhenConnected(node, outgoing, request);
    const supervision = offer.idempotent
      ? superviseOffer(node, { offer, address, canRetry, onLost: giveUp })
      : undefined;
    outgoing.once("information", () => supervision?.stop());
    outgoing.once("response", (response) => {
      supervision?.stop();
      if (!isProperAnswer(response)) {
        outgoing.destroy();
        return;
      }
      hasReply = true;
      destroyOnReset(response);
      if (response.headers[OfferHeader.Protocol] === offerProtocol) {
        openOfferConnection(node, address);
      }
      void readOutcome(node, response).then(resolve);
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

    function handleEnd(): void {
      supervision?.stop();
      // The end of a reply is read after the request has closed.
      if (hasReply) return;
      resolve(
        sending.isSent() && !isNotRun
          ? createContactLoss(cause)
          : createUnreachableRefusal(),
      );
    }
  });
}

/** A refusal or a loss holds only if all of its reply arrives. */
async function readOutcome(
  node: MeshNode,
  response: IncomingMessage,
): Promise<OfferOutcome> {
  const reply = decodeReply(response.headers[OfferHeader.Reply]);
  if (reply === undefined) {
    response.destroy();
    return createContactLoss(ContactLossCause.ConnectionEnded);
  }
  const isWhole = reply.kind === OfferOutcomeKind.Answered ||
    await discardBody(node, response);
  if (!isWhole) return createContactLoss(ContactLossCause.ConnectionEnded);
  return createReplyOutcome(reply, () => ({
    status: response.statusCode ?? 0,
    headers: selectForwardedHeaders(response.rawHeaders),
    body: response,
  }));
}
