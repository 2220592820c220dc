import test from "ava";
import { setImmediate } from "node:timers/promises";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferConnection } from "./offer_connection.ts";
import { offerOnConnection } from "./offer_on_connection.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import type { OfferReceiver } from "./offer_receiver.ts";

test("an offer that the other node ends without a reply is lost contact, and does not wait for ever", async (t) => {
  let receiver: OfferReceiver | undefined;
  const connection: OfferConnection = {
    canSend: () => true,
    send: (_payload, options) => {
      receiver = options.receiver;
      return 1;
    },
    cancel: () => true,
    addCredit: () => undefined,
    retire: () => undefined,
    close: () => undefined,
  };
  const outcome = offerOnConnection(
    { clock: { now: () => 0 } } as MeshNode,
    { method: "GET", url: "/", headers: [], body: Buffer.alloc(0) },
    {
      connection,
      offer: {
        ...createSampleOffer("call", { now: 0 }),
        idempotent: false,
      },
      address: { host: "127.0.0.1", port: 1 },
      signal: new AbortController().signal,
      canRetry: false,
    },
  );
  receiver?.onEnd();
  const found = await Promise.race([outcome, setImmediate(undefined)]);
  t.is(found?.kind, OfferOutcomeKind.Lost);
});
