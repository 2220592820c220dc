import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { OfferHeader } from "../../mesh/offer_header.ts";
import { OfferOutcomeKind } from "../../mesh/offer_outcome_kind.ts";
import type { OfferStatus } from "../../mesh/offer_status.ts";
import { SourceValueKind } from "../../source/source_value_kind.ts";
import { createSampleEntry } from "./create_sample_entry.ts";
import type { MeshFleet } from "./mesh_fleet.ts";
import { MeshHeader } from "./mesh_header.ts";
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
  const [{ listeners, service }] = fleet.settings as [
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
        socket.write(createStatusReply(peer.status));
      }
    });
  });
  const peer: SilentPeer = {
    identifier,
    offers,
    status: undefined,
    answerFirstOffer: (body) => void offers[0]?.write(createAnswer(body)),
    stopListening: () => void server.close(),
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
  server.listen(listeners.nodes.port, host);
  await once(server, "listening");
  fleet.source.put(`server/${identifier}`, {
    kind: SourceValueKind.BackendServer,
    entry: {
      ...createSampleEntry({ identifier, service, address: { host, port: 1 } }),
    },
  });
  return peer;
}
function createStatusReply(status: OfferStatus): string {
  const lines = [
    "HTTP/1.1 200 OK",
    `${OfferHeader.Status}: ${status}`,
    "content-length: 0",
    "",
    "",
  ];
  return lines.join("\r\n");
}

function createAnswer(body: string): string {
  const reply = JSON.stringify({
    kind: OfferOutcomeKind.Answered,
    framed: true,
    load: { running: 1, queued: 0, slots: 4, cold: false },
  });
  const lines = [
    "HTTP/1.1 200 OK",
    `${OfferHeader.Reply}: ${reply}`,
    `${MeshHeader.Signature}: signed`,
    `content-length: ${Buffer.byteLength(body)}`,
    "",
    body,
  ];
  return lines.join("\r\n");
}
