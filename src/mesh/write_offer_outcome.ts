import type { ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { createReplyHeaders } from "./create_reply_headers.ts";
import { getGateLoad } from "./get_gate_load.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { offerProtocol } from "./offer_protocol.ts";
import { offerStatuses } from "./offer_statuses.ts";
import type { ReplyMessage } from "./reply_message.ts";

/** Writes the outcome of an offer as the response to the node that made it. */
export function writeOfferOutcome(
  node: MeshNode,
  response: ServerResponse,
  outcome: OfferOutcome,
): void {
  const load = getGateLoad(node);
  match(outcome)
    .with({ kind: OfferOutcomeKind.Answered }, (answered) => {
      const { kind, status, headers, framed, body } = answered;
      response.writeHead(status, [
        ...headers,
        ...getLengthHeaders(answered),
        ...createReplyHeadersOfNode(node, {
          kind,
          framed,
          load: answered.load ?? load,
        }),
      ]);
      // A broken answer must not look complete to the other node.
      body.once("error", () => response.destroy());
      body.once("aborted", () => response.destroy());
      if (body.destroyed && !body.readableEnded) response.destroy();
      body.pipe(response);
    })
    .with({ kind: OfferOutcomeKind.Refused }, (refused) => {
      const { kind, reason, retryMilliseconds, reachedBackendServer } = refused;
      response.writeHead(
        offerStatuses.refused,
        createReplyHeadersOfNode(node, {
          kind,
          reason,
          retryMilliseconds,
          reachedBackendServer,
          load,
        }),
      ).end();
    })
    .with({ kind: OfferOutcomeKind.Lost }, ({ kind, reason }) => {
      response.writeHead(
        offerStatuses.lost,
        createReplyHeadersOfNode(node, { kind, reason, load }),
      ).end();
    })
    .exhaustive();
}

/** A body without a stated length is sent in chunks, which costs a further message. */
function getLengthHeaders(
  { bodyBytes }: { readonly bodyBytes?: number | undefined },
): readonly string[] {
  return bodyBytes === undefined ? [] : ["content-length", String(bodyBytes)];
}

function createReplyHeadersOfNode(
  node: MeshNode,
  message: ReplyMessage,
): string[] {
  return [
    ...createReplyHeaders(message),
    // A connection that is about to end must not carry another request.
    ...(node.stopping
      ? ["connection", "close"]
      : [OfferHeader.Protocol, offerProtocol]),
  ];
}
