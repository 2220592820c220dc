import { get, type IncomingMessage } from "node:http";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferCheck } from "../offers/offer_check.ts";
import { OfferCheckKind } from "../offers/offer_check_kind.ts";
import { createAnswerCheck } from "./create_answer_check.ts";
import { destroyOnReset } from "./destroy_on_reset.ts";
import { discardBody } from "./discard_body.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferStatus } from "../offers/offer_status.ts";
import { trackConnection } from "./track_connection.ts";

const replyTimeoutMilliseconds = 500;
const rejectedCode = "ECONNREFUSED";

const wholeNumber = /^\d{1,15}$/;
const statuses: readonly unknown[] = Object.values(OfferStatus);

/**
 * Queries the node that a call was offered to for the status of the offer, on a
 * connection of its own: that of the offer may be dead. A reply that breaks off
 * or is none counts as no reply.
 */
export function checkOffer(
  node: MeshNode,
  options: {
    readonly address: NetworkAddress;
    readonly offerIdentifier: string;
  },
): Promise<OfferCheck> {
  const { address, offerIdentifier } = options;
  return new Promise((resolve) => {
    let failure: OfferCheck = { kind: OfferCheckKind.NotConnected };
    const request = get({
      agent: false,
      host: address.host,
      port: address.port,
      headers: { [OfferHeader.Status]: offerIdentifier },
    });
    trackConnection(request, () => {
      failure = { kind: OfferCheckKind.NoReply };
    });
    const timer = node.timers.at(
      node.clock.now() + replyTimeoutMilliseconds,
      () => request.destroy(),
    );
    const isProperAnswer = createAnswerCheck(request);
    let hasReply = false;
    request.once("response", (response) => {
      if (!isProperAnswer(response)) {
        request.destroy();
        return;
      }
      hasReply = true;
      destroyOnReset(response);
      void discardBody(node, response).then((isWhole) =>
        resolve(isWhole ? readCheck(response) : failure)
      );
    });
    request.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code !== rejectedCode) return;
      failure = { kind: OfferCheckKind.Rejected };
    });
    request.once("close", () => {
      timer.cancel();
      // The end of a reply is read after the request has closed.
      if (!hasReply) resolve(failure);
    });
  });
}

function readCheck(response: IncomingMessage): OfferCheck {
  const status = response.headers[OfferHeader.Status];
  if (!isOfferStatus(status)) return { kind: OfferCheckKind.NotSupported };
  const recorded = response.headers[OfferHeader.Recorded];
  return {
    kind: OfferCheckKind.Status,
    status,
    ...(typeof recorded === "string" && wholeNumber.test(recorded)
      ? { recordedMilliseconds: Number(recorded) }
      : {}),
  };
}

function isOfferStatus(input: unknown): input is OfferStatus {
  return statuses.includes(input);
}
