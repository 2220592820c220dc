import test from "ava";
import { once } from "node:events";
import { type ClientRequest, request as sendRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { decodeReply } from "./decode_reply.ts";
import { encodeOffer } from "./encode_offer.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/** Offers a call to the first node of a fleet, on a connection of its own. */
function sendOffer(
  fleet: MeshFleet,
  options: { readonly call: string; readonly offer: string },
): ClientRequest {
  const now = Date.now();
  const offer = {
    ...createSampleOffer(options.call, { now }),
    offerIdentifier: options.offer,
  };
  const request = sendRequest({
    agent: false,
    ...fleet.settings[0]!.listeners.nodes,
    path: "/cakes/1",
    headers: {
      [OfferHeader.Offer]: encodeOffer(offer, now),
      [MeshHeader.Call]: options.call,
    },
  });
  request.on("error", () => undefined);
  request.end();
  return request;
}

function countQueued(fleet: MeshFleet): number {
  return fleet.events.filter(({ kind }) => kind === CallEventKind.Queued)
    .length;
}

// Guards against a wait that never ends: the cancellation of a call's earlier
// offer removed its later one from the queue of the same gate.
test.serial(
  "a call that is offered again while its first offer waits gets its slot after the first one is cancelled",
  async (t) => {
    await withMeshFleet({ vms: 1, slots: 1 }, async (fleet) => {
      const backend = fleet.backends[0]!;
      let releaseSlot: () => void = () => undefined;
      backend.script = (request, response) => {
        if (backend.runs.length > 1) sendCompleteAnswer(request, response);
        else releaseSlot = () => sendCompleteAnswer(request, response);
      };
      sendOffer(fleet, { call: "running", offer: "running" });
      t.true(await waitUntil(() => backend.runs.length === 1));
      const first = sendOffer(fleet, { call: "order", offer: "first" });
      t.true(await waitUntil(() => countQueued(fleet) === 1));
      const second = sendOffer(fleet, { call: "order", offer: "second" });
      const answered = once(second, "response") as Promise<[IncomingMessage]>;
      t.true(await waitUntil(() => countQueued(fleet) === 2));
      first.destroy();
      // The other node has seen the close when a further request is answered.
      t.is(await fleet.fetchReadinessStatus(0), 200);
      releaseSlot();
      const [answer] = await answered;
      const reply = decodeReply(answer.headers[OfferHeader.Reply]);
      t.is(reply?.kind, OfferOutcomeKind.Answered);
      t.deepEqual(backend.runs, ["running", "order"]);
    });
  },
);
