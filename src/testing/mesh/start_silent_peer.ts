import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { OfferHeader } from "../../mesh/offer_header.ts";
import type { OfferStatus } from "../../offers/offer_status.ts";
import { createPeerAnswer } from "./create_peer_answer.ts";
import type { MeshFleet } from "./mesh_fleet.ts";
import { publishPeer } from "./publish_peer.ts";
import type { SilentPeer } from "./silent_peer.ts";

const identifier = "silent-peer";
/** A loopback host that no node of a fleet uses. */
const host = "127.0.0.99";

/**
 * Starts a peer whose process does not run: the system accepts its connections,
 * but nothing is read or sent. It is registered beside a backend server of the
 * fleet's service.
 */
export async function startSilentPeer(fleet: MeshFleet): Promise<SilentPeer> {
  const [{ listeners }] = fleet.settings as [
    MeshFleet["settings"][number],
  ];
  const sockets = new Set<Socket>();
  const offers: Socket[] = [];
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      if (data.includes(`${OfferHeader.Offer}:`)) offers.push(socket);
      const isQuery = data.includes(`${OfferHeader.Status}:`);
      if (isQuery && peer.status !== undefined) {
        socket.write(createStatusReply(peer.status, peer));
      }
    });
  });
  const peer: SilentPeer = {
    identifier,
    offers,
    status: undefined,
    recordedMilliseconds: undefined,
    answerFirstOffer: (body) => void offers[0]?.write(createPeerAnswer(body)),
    stopListening: () => void server.close(),
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
  server.listen(listeners.nodes.port, host);
  await once(server, "listening");
  publishPeer(fleet, { identifier, host });
  return peer;
}

function createStatusReply(
  status: OfferStatus,
  { recordedMilliseconds }: SilentPeer,
): string {
  const lines = [
    "HTTP/1.1 200 OK",
    `${OfferHeader.Status}: ${status}`,
    ...(recordedMilliseconds === undefined
      ? []
      : [`${OfferHeader.Recorded}: ${recordedMilliseconds}`]),
    "content-length: 0",
    "",
    "",
  ];
  return lines.join("\r\n");
}
