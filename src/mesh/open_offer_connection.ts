import { request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { createAnswerCheck } from "./create_answer_check.ts";
import { createOfferConnection } from "./create_offer_connection.ts";
import type { MeshNode } from "./mesh_node.ts";
import { offerProtocol } from "./offer_protocol.ts";

const switchingProtocolsStatus = 101;
const attemptTimeoutMilliseconds = 1_000;
const attemptIntervalMilliseconds = 5_000;

/**
 * Opens an offer connection to a node that has announced that it accepts one,
 * unless there is one that can be used or an attempt was made shortly before. Offers are sent as
 * HTTP messages until it is open.
 */
export function openOfferConnection(
  node: MeshNode,
  address: NetworkAddress,
): void {
  const { open, nextAttemptAt } = node.offerConnections;
  const { host, port } = address;
  const now = node.clock.now();
  if (
    node.stopping || open.get(host)?.canSend(now) === true ||
    now < (nextAttemptAt.get(host) ?? 0)
  ) return;
  // The node replies, but not on this connection: it may have started again.
  open.get(host)?.retire();
  open.delete(host);
  nextAttemptAt.set(host, now + attemptIntervalMilliseconds);
  const outgoing = sendRequest({
    agent: false,
    host,
    port,
    headers: { connection: "upgrade", upgrade: offerProtocol },
  });
  const timer = node.timers.at(
    now + attemptTimeoutMilliseconds,
    () => outgoing.destroy(),
  );
  const isProperAnswer = createAnswerCheck(
    outgoing,
    (status) => status === switchingProtocolsStatus,
  );
  outgoing.once("upgrade", (response, socket: Socket, head: Buffer) => {
    timer.cancel();
    const isAccepted = isProperAnswer(response) &&
      response.headers.upgrade === offerProtocol;
    if (!isAccepted || node.stopping) {
      socket.destroy();
      return;
    }
    const connection = createOfferConnection(socket, {
      onClosed: () => {
        if (open.get(host) === connection) open.delete(host);
      },
    });
    open.set(host, connection);
    if (head.byteLength > 0) socket.unshift(head);
  });
  outgoing.once("response", () => outgoing.destroy());
  outgoing.on("error", () => undefined);
  outgoing.once("close", () => timer.cancel());
  outgoing.end();
}
