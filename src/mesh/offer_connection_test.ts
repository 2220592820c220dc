import test from "ava";
import fc from "fast-check";
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { once } from "node:events";
import type { ClientRequest } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { decodeHeadedPayload } from "../frames/decode_headed_payload.ts";
import { encodeFrameHeader } from "../frames/encode_frame_header.ts";
import { frameBytes } from "../frames/frame_bytes.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { connectOfferPeer } from "../testing/mesh/connect_offer_peer.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const seed = 1;
const hostileRuns = 150;
const settleMilliseconds = 150;
const longBytes = 3_000_000;
/** Offers whose answers are together longer than what the system buffers. */
const unreadOffers = 300;
const unreadBytes = 60_000;

/** Two VMs; the backend server of the first one is gone, so its calls are offered to the other. */
async function withConnectedNodes(
  run: (fleet: MeshFleet) => Promise<void>,
): Promise<void> {
  await withMeshFleet({ vms: 2, slots: 64 }, async (fleet) => {
    await fleet.backends[0]!.crash();
    await delay(settleMilliseconds * 3);
    await fleet.call(0);
    await delay(settleMilliseconds);
    await run(fleet);
  });
}

/** Counts the offers that any node of this process sends as HTTP messages. */
async function countHttpOffers(run: () => Promise<void>): Promise<number> {
  let count = 0;
  function handleRequest(message: unknown): void {
    const { request } = message as { readonly request: ClientRequest };
    const isOffer = String(
      (request as unknown as { readonly _header: string })._header,
    )
      .includes(OfferHeader.Offer);
    if (isOffer) count += 1;
  }
  subscribe("http.client.request.start", handleRequest);
  await run();
  unsubscribe("http.client.request.start", handleRequest);
  return count;
}

serialTest(
  "after the first reply of a node, offers to it share one connection",
  async (t) => {
    await withConnectedNodes(async (fleet) => {
      const count = await countHttpOffers(async () => {
        const responses = await Promise.all(
          Array.from(
            { length: 40 },
            (_, index) => fleet.call(0, { identifier: `c-${index}` }),
          ),
        );
        t.true(
          responses.every(({ status, body }, index) =>
            status === 200 && body === `answer to c-${index}`
          ),
        );
      });
      t.is(count, 0);
    });
  },
);

serialTest(
  "a long answer arrives whole and does not delay others",
  async (t) => {
    await withConnectedNodes(async (fleet) => {
      const script = fleet.backends[1]!.script;
      fleet.backends[1]!.script = (request, response) => {
        response.writeHead(200, {
          [MeshHeader.Call]: String(request.headers[MeshHeader.Call]),
          [MeshHeader.Signature]: "signed",
        });
        response.end("a".repeat(longBytes));
      };
      const long = fleet.call(0, { identifier: "long" });
      await waitUntil(() => fleet.backends[1]!.runs.includes("long"));
      fleet.backends[1]!.script = script;
      const { status } = await fleet.call(0, { identifier: "short" });
      t.is(status, 200);
      const { body } = await long;
      t.is(body.length, longBytes);
    });
  },
);

serialTest("an answer that breaks off does not look complete", async (t) => {
  await withConnectedNodes(async (fleet) => {
    fleet.backends[1]!.script = (request, response) => {
      response.writeHead(200, {
        [MeshHeader.Call]: String(request.headers[MeshHeader.Call]),
        [MeshHeader.Signature]: "signed",
        "content-length": "100",
      });
      response.write("part");
      setTimeout(() => response.destroy(), 50);
    };
    const { status } = await fleet.call(0, { identifier: "broken" });
    t.not(status, 200);
  });
});

serialTest(
  "a caller that leaves cancels its call, and others on the connection go on",
  async (t) => {
    await withConnectedNodes(async (fleet) => {
      fleet.backends[1]!.script = (request, response) =>
        void setTimeout(() => sendCompleteAnswer(request, response), 400);
      const kept = fleet.call(0, { identifier: "kept" });
      const controller = new AbortController();
      const left = fleet.call(0, {
        identifier: "left",
        signal: controller.signal,
      }).catch(() => undefined);
      await waitUntil(() => fleet.backends[1]!.runs.includes("left"));
      controller.abort();
      t.true(await waitUntil(() => fleet.backends[1]!.cancelled === 1));
      await left;
      t.is((await kept).status, 200);
    });
  },
);

serialTest(
  "a node that starts again gets offers, as HTTP messages until it has an offer connection",
  async (t) => {
    await withConnectedNodes(async (fleet) => {
      await fleet.restart(1);
      await delay(settleMilliseconds * 3);
      t.is((await fleet.call(0)).status, 200);
    });
  },
);

serialTest(
  "the offer of a peer is confirmed, answered, and ended by its cancellation or the end of the connection",
  async (t) => {
    await withMeshFleet({ vms: 1, slots: 8 }, async (fleet) => {
      const [backend] = fleet.backends;
      const peer = await connectOfferPeer(fleet.settings[0]!.listeners.nodes);
      peer.offerCall(1, "c-1");
      t.true(await waitUntil(() => peer.hasFrame(FrameKind.End, 1)));
      t.is(peer.getAnswerBytes(1), "answer to c-1".length);
      const reply = peer.frames.find(({ kind }) => kind === FrameKind.Reply);
      t.like(decodeHeadedPayload(reply!.payload)?.head, {
        status: 200,
        reply: { kind: OfferOutcomeKind.Answered },
      });
      backend!.script = () => undefined;
      peer.offerCall(2, "c-2");
      t.true(await waitUntil(() => peer.hasFrame(FrameKind.Confirmation, 2)));
      peer.send(FrameKind.Cancel, 2);
      t.true(await waitUntil(() => backend!.cancelled === 1));
      t.true(
        await waitUntil(() => peer.hasFrame(FrameKind.Break, 2)),
        "a sign of life",
      );
      peer.offerCall(3, "c-3");
      await waitUntil(() => backend!.runs.includes("c-3"));
      peer.socket.destroy();
      t.true(await waitUntil(() => backend!.cancelled === 2));
    });
  },
);

serialTest(
  "a peer that does not use an answer gets no more of it than the window",
  async (t) => {
    await withMeshFleet({ vms: 1 }, async (fleet) => {
      fleet.backends[0]!.script = (request, response) => {
        response.writeHead(200, {
          [MeshHeader.Call]: String(request.headers[MeshHeader.Call]),
          [MeshHeader.Signature]: "signed",
        });
        response.end(Buffer.alloc(longBytes));
      };
      const peer = await connectOfferPeer(fleet.settings[0]!.listeners.nodes);
      peer.offerCall(1, "c-1");
      await delay(settleMilliseconds * 3);
      const sent = peer.getAnswerBytes(1);
      t.true(sent > 0 && sent <= frameBytes.windowMaximum * 2);
      const credit = Buffer.alloc(4);
      credit.writeUInt32BE(longBytes);
      peer.send(FrameKind.Credit, 1, [credit]);
      t.true(await waitUntil(() => peer.hasFrame(FrameKind.End, 1)));
      t.is(peer.getAnswerBytes(1), longBytes);
      peer.socket.destroy();
    });
  },
);

serialTest(
  "a node that stops asks its peers to send no further offers",
  async (t) => {
    await withMeshFleet({ vms: 1 }, async (fleet) => {
      const peer = await connectOfferPeer(fleet.settings[0]!.listeners.nodes);
      const stopped = fleet.daemons[0]!.stop();
      t.true(await waitUntil(() => peer.hasFrame(FrameKind.Stop, 0)));
      await Promise.all([
        stopped,
        peer.socket.destroyed || once(peer.socket, "close"),
      ]);
    });
  },
);

serialTest(
  "a narrow link: a node that stops waits until its replies have been sent",
  async (t) => {
    await withMeshFleet(
      { vms: 1, slots: unreadOffers, stopMilliseconds: 8_000 },
      async (fleet) => {
        const [backend] = fleet.backends;
        backend!.script = (request, response) => {
          response.writeHead(200, {
            [MeshHeader.Call]: String(request.headers[MeshHeader.Call]),
            [MeshHeader.Signature]: "signed",
          });
          response.end(Buffer.alloc(unreadBytes));
        };
        const peer = await connectOfferPeer(fleet.settings[0]!.listeners.nodes);
        peer.socket.pause();
        const offers = Array.from(
          { length: unreadOffers },
          (_, index) => index,
        );
        offers.forEach((offer) => peer.offerCall(offer, `c-${offer}`));
        t.true(await waitUntil(() => backend!.runs.length === unreadOffers));
        const stopped = fleet.daemons[0]!.stop();
        // Longer than a stop takes at least, with the time in which it closes.
        await delay(3_500);
        peer.socket.resume();
        t.true(
          await waitUntil(() =>
            offers.every((offer) => peer.hasFrame(FrameKind.End, offer))
          ),
        );
        t.is(await stopped, 0);
      },
    );
  },
);

const hostileFrames = fc.array(
  fc.record({
    kind: fc.integer({ min: 0, max: 12 }),
    offer: fc.nat({ max: 3 }),
    payload: fc.oneof(
      fc.uint8Array({ maxLength: 40 }),
      fc.json({ maxDepth: 1 }).map((text) =>
        Buffer.concat([Buffer.from([0, 0, 0, text.length]), Buffer.from(text)])
      ),
    ),
  }),
  { maxLength: 8 },
);

serialTest(
  "whatever a peer sends on an offer connection, the node serves the next call",
  async (t) => {
    await withMeshFleet({ vms: 1 }, async (fleet) => {
      await fc.assert(
        fc.asyncProperty(hostileFrames, async (frames) => {
          const peer = await connectOfferPeer(
            fleet.settings[0]!.listeners.nodes,
          );
          frames.forEach(({ kind, offer, payload }) => {
            const header = encodeFrameHeader(
              { kind, offer },
              payload.byteLength,
            );
            peer.socket.write(Buffer.concat([header, payload]));
          });
          await delay(5);
          peer.socket.destroy();
          const { status } = await fleet.call(0);
          return status === 200;
        }),
        { numRuns: hostileRuns, seed },
      );
      t.pass();
    });
  },
);
