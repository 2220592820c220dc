import test from "ava";
import { once } from "node:events";
import {
  type IncomingHttpHeaders,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  request as sendRequest,
} from "node:http";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { encodeOffer } from "./encode_offer.ts";
import { decodeReply } from "./decode_reply.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferStatus } from "../offers/offer_status.ts";

const serialTest = test.serial;

/**
 * Offers a call as another node would; resolves with the number of interim
 * responses before the answer.
 */
async function countInterimResponses(fleet: MeshFleet): Promise<number> {
  const { host, port } = fleet.settings[0]!.listeners.nodes;
  const now = Date.now();
  const offer = encodeOffer(createSampleOffer("offered", { now }), now);
  const request = sendRequest({
    host,
    port,
    path: "/cakes/1",
    headers: { [OfferHeader.Offer]: offer, [MeshHeader.Call]: "offered" },
  });
  let interimResponses = 0;
  request.on("information", () => interimResponses += 1);
  request.end();
  const [answer] = await once(request, "response") as [IncomingMessage];
  answer.resume();
  await once(answer, "end");
  return interimResponses;
}

/** Sends a request to the listener for other nodes; resolves with the headers of the response. */
async function requestAsNode(
  fleet: MeshFleet,
  headers: OutgoingHttpHeaders,
): Promise<IncomingHttpHeaders> {
  const { host, port } = fleet.settings[0]!.listeners.nodes;
  const request = sendRequest({ host, port, path: "/cakes/1", headers });
  request.end();
  const [answer] = await once(request, "response") as [IncomingMessage];
  answer.resume();
  await once(answer, "end");
  return answer.headers;
}

serialTest(
  "an offer that is answered soon gets no interim response",
  async (t) => {
    const fleet = await startMeshFleet({ vms: 1 });
    t.is(await countInterimResponses(fleet), 0);
    await fleet.close();
  },
);

serialTest(
  "an offer that takes long gets an interim response before the other node cancels it",
  async (t) => {
    const fleet = await startMeshFleet({ vms: 1 });
    fleet.backends[0]!.script = (request, response) => {
      setTimeout(() => sendCompleteAnswer(request, response), 700);
    };
    t.is(await countInterimResponses(fleet), 1);
    await fleet.close();
  },
);

// Guards against running a call after another node was told that it had not
// arrived, and gave it up.
serialTest(
  "an offer that was queried before it arrived is refused and does not run",
  async (t) => {
    const fleet = await startMeshFleet({ vms: 1 });
    const query = { [OfferHeader.Status]: "late" };
    const queried = await requestAsNode(fleet, query);
    t.is(queried[OfferHeader.Status], OfferStatus.Unknown);
    const now = Date.now();
    const offered = await requestAsNode(fleet, {
      [OfferHeader.Offer]: encodeOffer(
        createSampleOffer("late", { now }),
        now,
      ),
      [MeshHeader.Call]: "late",
    });
    const reply = decodeReply(offered[OfferHeader.Reply]);
    t.is(reply?.reason, RefusalReason.Fenced);
    t.deepEqual(fleet.backends[0]!.runs, []);
    await fleet.close();
  },
);
