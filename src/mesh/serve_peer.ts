import type { IncomingMessage, ServerResponse } from "node:http";
import { tryParseSourcePosition } from "../source/try_parse_source_position.ts";
import { listWithdrawals } from "./list_withdrawals.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { serveCrashEvidence } from "./serve_crash_evidence.ts";
import { serveFeed } from "./serve_feed.ts";
import { serveOffer } from "./serve_offer.ts";
import { serveOfferStatus } from "./serve_offer_status.ts";
import { serveOfferWithdrawal } from "./serve_offer_withdrawal.ts";
import { serveQuotaMessage } from "./serve_quota_message.ts";

const okStatus = 200;

/**
 * Serves a request of another node: the offer of a call, a query for the status
 * of one, the withdrawal of some, evidence of crashes, what was withdrawn, a message about a quota, or a
 * subscription to the feed.
 */
export function servePeer(
  node: MeshNode,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const offerIdentifier = request.headers[OfferHeader.Status];
  if (offerIdentifier !== undefined) {
    serveOfferStatus(node, request, {
      offerIdentifier: String(offerIdentifier),
      response,
    });
    return;
  }
  const withdrawn = request.headers[OfferHeader.Withdraw];
  if (withdrawn !== undefined) {
    serveOfferWithdrawal(node, request, {
      offers: String(withdrawn),
      response,
    });
    return;
  }
  const purpose = request.headers[OfferHeader.CrashEvidence];
  if (purpose !== undefined) {
    serveCrashEvidence(node, request, { purpose: String(purpose), response });
    return;
  }
  const era = request.headers[OfferHeader.Withdrawals];
  if (era !== undefined) {
    request.resume();
    const withdrawals = listWithdrawals(node, {
      era: Number(era),
      rulesVersion: Number(request.headers[OfferHeader.RulesVersion] ?? 0),
    });
    response.writeHead(okStatus).end(JSON.stringify(withdrawals));
    return;
  }
  const quotaMessage = request.headers[OfferHeader.Quota];
  if (quotaMessage !== undefined) {
    request.resume();
    serveQuotaMessage(node, { message: String(quotaMessage), response });
    return;
  }
  const after = request.headers[OfferHeader.Feed];
  if (after === undefined) {
    serveOffer(node, request, response);
    return;
  }
  serveFeed(node, request, {
    after: tryParseSourcePosition(String(after)),
    response,
  });
}
