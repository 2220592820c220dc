import type { IncomingMessage, ServerResponse } from "node:http";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { selectForwardedHeaders } from "../calls/select_forwarded_headers.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import type { CallSignal } from "./call_signal.ts";
import { createDisconnectController } from "./create_disconnect_controller.ts";
import { createOfferRefusal } from "./create_offer_refusal.ts";
import { decodeOffer } from "./decode_offer.ts";
import { detectClosedConnections } from "./detect_closed_connections.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getBodyBytesMaximum } from "./get_body_bytes_maximum.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { offerDelays } from "./offer_delays.ts";
import { offerStatuses } from "./offer_statuses.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { offerToOwnServer } from "./offer_to_own_server.ts";
import { releaseOffer } from "../offers/release_offer.ts";
import { readRequestBody } from "./read_request_body.ts";
import { reportInternalError } from "./report_internal_error.ts";
import { tryHoldOffer } from "../offers/try_hold_offer.ts";
import { writeOfferOutcome } from "./write_offer_outcome.ts";

/** Serves a call that another node offers to the backend server of this VM. */
export function serveOffer(
  node: MeshNode,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const offerText = request.headers[OfferHeader.Offer];
  const offer = decodeOffer(
    typeof offerText === "string" ? offerText : undefined,
    node.clock.now(),
  );
  if (offer === undefined) {
    request.resume();
    response.writeHead(offerStatuses.invalid).end();
    return;
  }
  const { callIdentifier, offerIdentifier } = offer;
  const now = node.clock.now();
  if (!tryHoldOffer(node.offers, { offerIdentifier, now })) {
    request.resume();
    refuseFenced(node, response);
    return;
  }
  releaseAtClose(node, { request, response, offerIdentifier });
  // The other node closes the connection when its caller disconnects.
  const cancellation = createDisconnectController(request, response);
  const interimResponseTimer = startInterimResponseTimer(node, response);
  const deadlineTimer = node.timers.at(
    offer.deadline + offerDelays.deadlineGraceMilliseconds,
    () => cancellation.abort(),
  );
  response.once("close", () => deadlineTimer.cancel());
  processOffer(node, request, { offer, signal: cancellation.signal })
    .then((outcome) => writeOfferOutcome(node, response, outcome))
    .catch((error: unknown) => {
      reportInternalError(node, { callIdentifier, error });
      // Without a reply, the other node assumes that the call may have run.
      response.destroy();
    })
    .finally(() => interimResponseTimer.cancel());
}

function refuseFenced(node: MeshNode, response: ServerResponse): void {
  const reason = RefusalReason.Fenced;
  writeOfferOutcome(
    node,
    response,
    createOfferRefusal(node, { reason, retryMilliseconds: 0 }),
  );
}

function startInterimResponseTimer(
  node: MeshNode,
  response: ServerResponse,
): TimerHandle {
  return node.timers.at(
    node.clock.now() + offerDelays.confirmationMilliseconds,
    () => {
      if (!response.destroyed) response.writeProcessing();
    },
  );
}

/**
 * Releases an offer when its response or its connection is closed. A response
 * that waits for an earlier one on its connection does not close with it.
 */
function releaseAtClose(
  node: MeshNode,
  options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly offerIdentifier: string;
  },
): void {
  const { request: { socket }, response, offerIdentifier } = options;
  function release(): void {
    socket.off("close", release);
    response.off("close", release);
    releaseOffer(node.offers, { offerIdentifier, now: node.clock.now() });
  }
  response.once("close", release);
  socket.once("close", release);
}

async function processOffer(
  node: MeshNode,
  request: IncomingMessage,
  options: { readonly offer: GateOffer; readonly signal: CallSignal },
): Promise<OfferOutcome> {
  const body = await readRequestBody(request, {
    bytesMaximum: getBodyBytesMaximum(node),
    signal: options.signal,
  });
  if (body.isErr) {
    const reason = body.error;
    return createOfferRefusal(node, { reason, retryMilliseconds: 0 });
  }
  await detectClosedConnections(node, {
    turns: 2,
    connection: request.socket,
  });
  return await offerToOwnServer(node, {
    method: request.method ?? "GET",
    url: request.url ?? "/",
    headers: selectForwardedHeaders(request.rawHeaders),
    body: body.value,
  }, options);
}
