import { get } from "node:http";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferCheck } from "./offer_check.ts";
import { OfferCheckKind } from "./offer_check_kind.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferStatus } from "./offer_status.ts";
import { trackConnection } from "./track_connection.ts";

const replyTimeoutMilliseconds = 500;

const statuses: readonly unknown[] = Object.values(OfferStatus);

/**
 * Queries the node that a call was offered to for the status of the offer, on a
 * connection of its own: that of the offer may be dead.
 */
export function checkOffer(
  node: MeshNode,
  options: {
    readonly address: NetworkAddress;
    readonly callIdentifier: string;
  },
): Promise<OfferCheck> {
  const { address, callIdentifier } = options;
  return new Promise((resolve) => {
    const request = get({
      agent: false,
      host: address.host,
      port: address.port,
      headers: { [OfferHeader.Status]: callIdentifier },
    });
    const connection = trackConnection(request);
    const timer = node.timers.at(
      node.clock.now() + replyTimeoutMilliseconds,
      () => request.destroy(),
    );
    request.once("response", (response) => {
      response.resume();
      const status = response.headers[OfferHeader.Status];
      resolve(
        isOfferStatus(status)
          ? { kind: OfferCheckKind.Status, status }
          : { kind: OfferCheckKind.NoReply },
      );
    });
    // The close that follows ends the check.
    request.on("error", () => undefined);
    request.once("close", () => {
      timer.cancel();
      resolve({
        kind: connection.isConnected()
          ? OfferCheckKind.NoReply
          : OfferCheckKind.Unreachable,
      });
    });
  });
}

function isOfferStatus(input: unknown): input is OfferStatus {
  return statuses.includes(input);
}
