import test from "ava";
import { once } from "node:events";
import { type IncomingMessage, request as sendRequest } from "node:http";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { startMeshFleet } from "../testing/mesh/start_mesh_fleet.ts";
import { encodeOffer } from "./encode_offer.ts";
import { OfferHeader } from "./offer_header.ts";

const serialTest = test.serial;

/**
 * Offers a call as another node would; resolves with the number of interim
 * responses before the answer.
 */
async function countInterimResponses(fleet: MeshFleet): Promise<number> {
  const { host, port } = fleet.settings[0]!.listeners.nodes;
  const now = Date.now();
  const deadline = now + 3_000;
  const offer = encodeOffer({
    callIdentifier: "offered",
    service: fleet.settings[0]!.service,
    identifier: "server-0",
    callerService: "vitrine",
    route: "cakes",
    idempotent: true,
    priority: 2,
    deadline,
    goalDeadline: deadline,
    waitDeadline: deadline,
    mayComeBack: true,
  }, now);
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
