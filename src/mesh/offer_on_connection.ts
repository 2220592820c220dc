import type { Readable } from "node:stream";
import { selectForwardedHeaders } from "../calls/select_forwarded_headers.ts";
import { encodeHeadedPayload } from "../frames/encode_headed_payload.ts";
import { decodeHeadedPayload } from "../frames/decode_headed_payload.ts";
import { frameBytes } from "../frames/frame_bytes.ts";
import { ContactLossCause } from "../offers/contact_loss_cause.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { CallCancelledError } from "./call_cancelled_error.ts";
import type { CallRequest } from "./call_request.ts";
import type { CallSignal } from "./call_signal.ts";
import { createAnswerStream } from "./create_answer_stream.ts";
import { createContactLoss } from "./create_contact_loss.ts";
import { createOfferMessage } from "./create_offer_message.ts";
import { createReplyOutcome } from "./create_reply_outcome.ts";
import { createUnreachableRefusal } from "./create_unreachable_refusal.ts";
import type { GateOffer } from "./gate_offer.ts";
import { isReplyHead } from "./is_reply_head.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferConnection } from "./offer_connection.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { superviseOffer } from "./supervise_offer.ts";

/**
 * Offers a call on an offer connection; the outcome is that of the same offer as
 * an HTTP message.
 */
export function offerOnConnection(
  node: MeshNode,
  request: CallRequest,
  options: {
    readonly connection: OfferConnection;
    readonly offer: GateOffer;
    readonly address: NetworkAddress;
    readonly signal: CallSignal;
    readonly canRetry: boolean;
  },
): Promise<OfferOutcome> {
  const { connection, offer, address, signal, canRetry } = options;
  if (signal.aborted) return Promise.resolve(createUnreachableRefusal());
  return new Promise((resolve) => {
    const now = node.clock.now();
    const { method, url, headers } = request;
    const head = {
      offer: createOfferMessage(offer, now),
      method,
      url,
      headers,
    };
    let stream: ReturnType<typeof createAnswerStream> | undefined;
    const number = connection.send(encodeHeadedPayload(head, request.body), {
      now,
      receiver: {
        onConfirmation: () => supervision?.stop(),
        onReply: handleReply,
        onData: handleData,
        onEnd: () => {
          finish();
          stream?.push(null);
          // Has no effect after a reply.
          resolve(createContactLoss(ContactLossCause.ConnectionEnded));
        },
        onBreak: () => {
          finish();
          breakOff(new Error("The answer broke off"));
          resolve(createContactLoss(ContactLossCause.ConnectionEnded));
        },
      },
    });
    const supervision = offer.idempotent
      ? superviseOffer(node, { offer, address, canRetry, onLost: giveUp })
      : undefined;
    signal.addEventListener("abort", handleAbort, { once: true });

    function finish(): void {
      supervision?.stop();
      signal.removeEventListener("abort", handleAbort);
    }

    function breakOff(error: Error): void {
      if (stream === undefined || stream.body.destroyed) return;
      // The break may be noticed only after the body has been passed on.
      stream.body.once("error", () => undefined);
      stream.body.destroy(error);
    }

    function handleAbort(): void {
      supervision?.stop();
      const mayHaveRun = connection.cancel(number);
      breakOff(new CallCancelledError());
      resolve(
        mayHaveRun
          ? createContactLoss(ContactLossCause.ConnectionEnded)
          : createUnreachableRefusal(),
      );
    }

    function giveUp(
      cause: ContactLossCause,
      { isNotRun }: { readonly isNotRun: boolean },
    ): void {
      finish();
      connection.cancel(number);
      resolve(isNotRun ? createUnreachableRefusal() : createContactLoss(cause));
    }

    function handleReply(payload: Buffer): void {
      supervision?.stop();
      const reply = decodeHeadedPayload(payload)?.head;
      if (!isReplyHead(reply) || stream !== undefined) {
        // Bytes that no node sends; the offers in progress are broken off.
        connection.close();
        return;
      }
      resolve(createReplyOutcome(reply.reply, () => ({
        status: reply.status,
        headers: selectForwardedHeaders(reply.headers),
        body: createBody(),
      })));
    }

    function createBody(): Readable {
      stream = createAnswerStream({
        onUsed: (bytes) => connection.addCredit(number, bytes),
        onLeft: () => {
          finish();
          connection.cancel(number);
        },
      });
      return stream.body;
    }

    function handleData(bytes: Buffer): void {
      const unusedBytes = stream?.body.readableLength ?? 0;
      if (stream === undefined || unusedBytes > frameBytes.windowMaximum * 2) {
        connection.close();
        return;
      }
      stream.push(bytes);
    }
  });
}
