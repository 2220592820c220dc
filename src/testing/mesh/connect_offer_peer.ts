import { once } from "node:events";
import { request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { createFrameSplitter } from "../../frames/create_frame_splitter.ts";
import { encodeFrameHeader } from "../../frames/encode_frame_header.ts";
import { encodeHeadedPayload } from "../../frames/encode_headed_payload.ts";
import type { Frame } from "../../frames/frame.ts";
import { FrameKind } from "../../frames/frame_kind.ts";
import { createOfferMessage } from "../../mesh/create_offer_message.ts";
import { offerProtocol } from "../../mesh/offer_protocol.ts";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import { createSampleOffer } from "./create_sample_offer.ts";
import { MeshHeader } from "./mesh_header.ts";
import type { OfferPeer } from "./offer_peer.ts";

/** Opens an offer connection to a node, as another node does. */
export async function connectOfferPeer(
  address: NetworkAddress,
): Promise<OfferPeer> {
  const outgoing = sendRequest({
    agent: false,
    host: address.host,
    port: address.port,
    headers: { connection: "upgrade", upgrade: offerProtocol },
  });
  outgoing.end();
  const [, socket] = await once(outgoing, "upgrade") as [unknown, Socket];
  const split = createFrameSplitter();
  const frames: Frame[] = [];
  socket.on("data", (bytes: Buffer) => frames.push(...split(bytes) ?? []));
  socket.on("error", () => undefined);

  function send(
    kind: FrameKind,
    offer: number,
    payload: readonly Buffer[] = [],
  ): void {
    const bytes = Buffer.concat(payload);
    const header = encodeFrameHeader({ kind, offer }, bytes.byteLength);
    socket.write(Buffer.concat([header, bytes]));
  }

  return {
    socket,
    frames,
    send,
    offerCall: (offer, callIdentifier) => {
      const now = Date.now();
      const message = createOfferMessage(
        createSampleOffer(callIdentifier, { now }),
        now,
      );
      send(
        FrameKind.Offer,
        offer,
        encodeHeadedPayload({
          offer: message,
          method: "GET",
          url: "/cakes/1",
          headers: ["host", "shop.example", MeshHeader.Call, callIdentifier],
        }, Buffer.alloc(0)),
      );
    },
    getAnswerBytes: (offer) =>
      frames
        .filter((frame) =>
          frame.kind === FrameKind.Data && frame.offer === offer
        )
        .reduce((sum, { payload }) => sum + payload.byteLength, 0),
    hasFrame: (kind, offer) =>
      frames.some((frame) => frame.kind === kind && frame.offer === offer),
  };
}
