import test from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { OfferStatus } from "../offers/offer_status.ts";
import { CallKind } from "../routing/call_kind.ts";
import { createPeerAnswer } from "../testing/mesh/create_peer_answer.ts";
import type { MeshResponse } from "../testing/mesh/mesh_response.ts";
import { publishPeer } from "../testing/mesh/publish_peer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { OfferHeader } from "./offer_header.ts";
import { offerProtocol } from "./offer_protocol.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const host = "127.0.0.97";
const settleMilliseconds = 500;
const timeoutMilliseconds = 2_500;
const notRunStatuses = [408, 421, 429, 503];
const answer = createPeerAnswer("from the peer")
  .replace("\r\n", `\r\n${OfferHeader.Protocol}: ${offerProtocol}\r\n`);
const acceptance =
  `HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${offerProtocol}\r\n\r\n`;
const neverReceived =
  `HTTP/1.1 200 OK\r\n${OfferHeader.Status}: ${OfferStatus.NotReceived}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`;

/**
 * Sends a call to a peer that replies to HTTP messages, but not on its offer
 * connection; resolves with the response, that to the next call, and what the peer received
 * for the first of them.
 */
async function callSilentPeer(kind: CallKind): Promise<{
  readonly response: MeshResponse;
  readonly milliseconds: number;
  readonly next: MeshResponse;
  readonly httpOffers: number;
  readonly hasFrames: boolean;
}> {
  let httpOffers = 0;
  let frameBytes = 0;
  let response: MeshResponse | undefined;
  let next: MeshResponse | undefined;
  let milliseconds = 0;
  let httpOffersOfCall = 0;
  const route = { kind, attemptsMaximum: 3, timeoutMilliseconds };
  await withMeshFleet({ vms: 1, route }, async (fleet) => {
    const server = createServer((socket) => {
      let isUpgraded = false;
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        if (isUpgraded) {
          frameBytes += data.byteLength;
        } else if (/^upgrade: /im.test(data.toString())) {
          isUpgraded = true;
          socket.write(acceptance);
        } else if (data.includes(`${OfferHeader.Status}:`)) {
          socket.end(neverReceived);
        } else if (data.includes(`${OfferHeader.Offer}:`)) {
          httpOffers += 1;
          socket.write(answer);
        }
      });
    });
    server.listen(fleet.settings[0]!.listeners.nodes.port, host);
    await once(server, "listening");
    publishPeer(fleet, { identifier: "peer", host });
    await fleet.backends[0]!.crash();
    await delay(settleMilliseconds);
    await fleet.call(0);
    await delay(settleMilliseconds);
    httpOffers = 0;
    const sentAt = performance.now();
    response = await fleet.call(0);
    milliseconds = performance.now() - sentAt;
    httpOffersOfCall = httpOffers;
    next = await fleet.call(0);
    server.close();
  });
  return {
    response: response!,
    milliseconds,
    next: next!,
    httpOffers: httpOffersOfCall,
    hasFrames: frameBytes > 0,
  };
}

serialTest(
  "a silent offer connection: an idempotent call that the other node has not received is given up early, and the next one is an HTTP message",
  async (t) => {
    const { milliseconds, next, hasFrames } = await callSilentPeer(
      CallKind.Idempotent,
    );
    t.true(hasFrames);
    t.true(milliseconds < timeoutMilliseconds / 2);
    t.is(next.status, 200);
    t.is(next.body, "from the peer");
  },
);

serialTest(
  "a silent offer connection: a non-idempotent call is not offered again, and not reported as not run",
  async (t) => {
    const { response, next, httpOffers, hasFrames } = await callSilentPeer(
      CallKind.NonIdempotent,
    );
    t.true(hasFrames);
    t.is(httpOffers, 0);
    t.false(notRunStatuses.includes(response.status));
    t.not(response.status, 200);
    t.is(next.status, 200);
  },
);
