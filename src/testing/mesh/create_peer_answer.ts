import { OfferHeader } from "../../mesh/offer_header.ts";
import { OfferOutcomeKind } from "../../mesh/offer_outcome_kind.ts";
import { MeshHeader } from "./mesh_header.ts";

/** Returns the bytes of an answer as the node beside a backend server sends it. */
export function createPeerAnswer(body: string): string {
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
