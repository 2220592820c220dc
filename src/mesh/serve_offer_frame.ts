import type { Socket } from "node:net";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { selectForwardedHeaders } from "../calls/select_forwarded_headers.ts";
import { decodeHeadedPayload } from "../frames/decode_headed_payload.ts";
import type { Frame } from "../frames/frame.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import type { FrameWriter } from "../frames/frame_writer.ts";
import { releaseOffer } from "../offers/release_offer.ts";
import { tryHoldOffer } from "../offers/try_hold_offer.ts";
import type { CallRequest } from "./call_request.ts";
import type { CallSignal } from "./call_signal.ts";
import { createCallController } from "./create_call_controller.ts";
import { createOfferRefusal } from "./create_offer_refusal.ts";
import { detectClosedConnections } from "./detect_closed_connections.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getBodyBytesMaximum } from "./get_body_bytes_maximum.ts";
import { isRequestHead } from "./is_request_head.ts";
import type { MeshNode } from "./mesh_node.ts";
import { offerDelays } from "./offer_delays.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { offerToOwnServer } from "./offer_to_own_server.ts";
import { readOffer } from "./read_offer.ts";
import { reportInternalError } from "./report_internal_error.ts";
import type { ServedOffer } from "./served_offer.ts";
import { writeReplyFrames } from "./write_reply_frames.ts";

/**
 * Serves an offer that arrived on an offer connection. Returns undefined if it
 * has its reply already.
 */
export function serveOfferFrame(
  node: MeshNode,
  frame: Frame,
  options: {
    readonly writer: FrameWriter;
    readonly socket: Socket;
    /** Called when the reply has been written or the offer was given up. */
    readonly onEnded: () => void;
  },
): ServedOffer | undefined {
  const { writer, socket } = options;
  const number = frame.offer;
  const now = node.clock.now();
  const payload = decodeHeadedPayload(frame.payload);
  const head = isRequestHead(payload?.head) ? payload?.head : undefined;
  const offer = readOffer(head?.offer, now);
  if (payload === undefined || head === undefined || offer === undefined) {
    writer.write({ kind: FrameKind.Break, offer: number });
    return undefined;
  }
  const { callIdentifier, offerIdentifier } = offer;
  const cancellation = createCallController();
  const { signal } = cancellation;
  const write = (outcome: OfferOutcome) =>
    writeReplyFrames(node, outcome, {
      writer,
      offer: number,
      onEnded: end,
      signal,
    });
  if (!tryHoldOffer(node.offers, { offerIdentifier, now })) {
    const reason = RefusalReason.Fenced;
    writeReplyFrames(
      node,
      createOfferRefusal(node, { reason, retryMilliseconds: 0 }),
      { writer, offer: number, onEnded: () => undefined, signal },
    );
    return undefined;
  }
  const confirmation = node.timers.at(
    now + offerDelays.confirmationMilliseconds,
    () => writer.write({ kind: FrameKind.Confirmation, offer: number }),
  );
  const deadlineTimer = node.timers.at(
    offer.deadline + offerDelays.deadlineGraceMilliseconds,
    () => cancellation.abort(),
  );
  let hasEnded = false;
  let addCredit: ((bytes: number) => void) | undefined;

  function end(): void {
    if (hasEnded) return;
    hasEnded = true;
    confirmation.cancel();
    deadlineTimer.cancel();
    releaseOffer(node.offers, { offerIdentifier, now: node.clock.now() });
    options.onEnded();
  }

  // The bytes of the frame share their memory with others of the same read.
  const body = Buffer.from(payload.body);
  const { method, url } = head;
  const headers = selectForwardedHeaders(head.headers);
  processOffer(node, { method, url, headers, body }, {
    offer,
    signal,
    socket,
  }).then((outcome) => {
    confirmation.cancel();
    if (hasEnded) return;
    addCredit = write(outcome);
  }).catch((error: unknown) => {
    reportInternalError(node, { callIdentifier, error });
    if (hasEnded) return;
    // Without a reply, the other node assumes that the call may have run.
    writer.write({ kind: FrameKind.Break, offer: number });
    end();
  });

  return {
    cancel: () => {
      cancellation.abort();
      end();
    },
    addCredit: (bytes) => addCredit?.(bytes),
  };
}

async function processOffer(
  node: MeshNode,
  request: CallRequest,
  options: {
    readonly offer: GateOffer;
    readonly signal: CallSignal;
    readonly socket: Socket;
  },
): Promise<OfferOutcome> {
  if (request.body.byteLength > getBodyBytesMaximum(node)) {
    const reason = RefusalReason.RequestTooLarge;
    return createOfferRefusal(node, { reason, retryMilliseconds: 0 });
  }
  await detectClosedConnections(node, {
    turns: 2,
    connection: options.socket,
  });
  return await offerToOwnServer(node, request, options);
}
