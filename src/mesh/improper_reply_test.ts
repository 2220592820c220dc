import test, { type ExecutionContext } from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { OfferCheckKind } from "../offers/offer_check_kind.ts";
import { OfferStatus } from "../offers/offer_status.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { encodeFeedLine } from "../source/encode_feed_line.ts";
import { FeedEndKind } from "../source/feed_end_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createLoneNode } from "../testing/mesh/create_lone_node.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import { createSampleSettings } from "../testing/mesh/create_sample_settings.ts";
import type { ImproperAnswer } from "../testing/mesh/improper_answer.ts";
import { improperAnswers } from "../testing/mesh/improper_answers.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { startImproperServer } from "../testing/mesh/start_improper_server.ts";
import { startRawServer } from "../testing/mesh/start_raw_server.ts";
import { checkOffer } from "./check_offer.ts";
import { collectAnswerBody } from "./collect_answer_body.ts";
import { createCallController } from "./create_call_controller.ts";
import { followFeed } from "./follow_feed.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { offerProtocol } from "./offer_protocol.ts";
import { offerToNode } from "./offer_to_node.ts";
import { openOfferConnection } from "./open_offer_connection.ts";
import { probeBackendServer } from "./probe_backend_server.ts";
import { requestNode } from "./request_node.ts";

const host = "127.0.0.11";
const deadlineMilliseconds = 2_000;
const load = { running: 1, queued: 0, slots: 4, cold: false };

/** The proper answer, then the same with each fault. */
const answers: readonly (ImproperAnswer & { readonly isProper: boolean })[] = [
  {
    name: "no fault",
    create: ({ status, lines, body }) =>
      `HTTP/1.1 ${status}\r\n${lines}content-length: ${
        Buffer.byteLength(body)
      }\r\n\r\n${body}`,
    hasProperHead: true,
    isReset: false,
    isProper: true,
  },
  ...improperAnswers.map((answer) => ({ ...answer, isProper: false })),
];

/** A node whose backend server and neighbours are at one address. */
function createNode(address: NetworkAddress): MeshNode {
  const sample = createSampleSettings({ backendServer: address });
  return createLoneNode({
    ...sample,
    listeners: { ...sample.listeners, nodes: address },
  });
}

async function startServer(
  t: ExecutionContext,
  options: Parameters<typeof startImproperServer>[1],
): Promise<NetworkAddress> {
  const { address, close } = await startImproperServer(host, options);
  t.teardown(close);
  return address;
}

answers.forEach((answer) => {
  const { name, isProper, hasProperHead } = answer;

  test(`the reply of a node with ${name}: used ${isProper}`, async (t) => {
    const proper = { status: "200 OK", lines: "", body: "{}" };
    const address = await startServer(t, { answer, proper });
    const node = createNode(address);
    const reply = await requestNode(node, {
      host,
      headers: {},
      body: "",
      deadline: node.clock.now() + deadlineMilliseconds,
    });
    t.is(reply, isProper ? "{}" : undefined);
  });

  test(`the status of an offer in an answer with ${name}: believed ${isProper}`, async (t) => {
    const lines =
      `${OfferHeader.Status}: ${OfferStatus.NotReceived}\r\n${OfferHeader.Recorded}: 9999\r\n`;
    const proper = { status: "200 OK", lines, body: "x" };
    const address = await startServer(t, { answer, proper });
    const check = await checkOffer(createNode(address), {
      address,
      offerIdentifier: "offer",
    });
    const { Status, NoReply } = OfferCheckKind;
    t.is(check.kind, isProper ? Status : NoReply);
  });

  test(`the refusal of an offer in an answer with ${name}: believed ${isProper}`, async (t) => {
    const reply = JSON.stringify({
      kind: OfferOutcomeKind.Refused,
      reason: RefusalReason.Full,
      load,
    });
    const lines = `${OfferHeader.Reply}: ${reply}\r\n`;
    const proper = { status: "503 X", lines, body: "x" };
    const address = await startServer(t, { answer, proper });
    const outcome = await offer(address);
    const { Refused, Lost } = OfferOutcomeKind;
    t.is(outcome.kind, isProper ? Refused : Lost);
  });

  test(`the answer to an offer with ${name}: complete ${isProper}`, async (t) => {
    const reply = JSON.stringify({ kind: OfferOutcomeKind.Answered, load });
    const lines = `${OfferHeader.Reply}: ${reply}\r\n`;
    const proper = { status: "200 OK", lines, body: "cake" };
    const address = await startServer(t, { answer, proper });
    const outcome = await offer(address);
    const isComplete = outcome.kind === OfferOutcomeKind.Answered &&
      (await collectAnswerBody(outcome)).isOk;
    t.is(isComplete, isProper);
  });

  test(`the feed of a node with ${name} ends, and no line is read after an improper head`, async (t) => {
    const line = encodeFeedLine(createSampleLine({ revision: 1 }));
    const proper = { status: "200 OK", lines: "", body: line };
    const address = await startServer(t, { answer, proper });
    const node = createNode(address);
    let lines = 0;
    const end = await followFeed(node, address, {
      after: { era: 0, revision: 0 },
      age: { confirmedAt: node.clock.now(), minimumClockOffset: Infinity },
      onLine: () => {
        lines += 1;
        return undefined;
      },
      signal: new AbortController().signal,
    });
    t.is(end, FeedEndKind.Lost);
    // A line that has arrived completely is used, wherever the feed ends then.
    t.is(lines, isProper || hasProperHead ? 1 : 0);
  });

  test(`the answer to a probe with ${name}: believed ${isProper}`, async (t) => {
    const lines = `${MeshHeader.Identifier}: server-9\r\n`;
    const proper = { status: "200 OK", lines, body: "x" };
    const address = await startServer(t, { answer, proper });
    const node = createNode(address);
    probeBackendServer(node);
    await waitUntil(() => !node.serverProbe.probing);
    const { latest } = node.addressHolder;
    t.is(latest?.identifier, isProper ? "server-9" : undefined);
  });

  // An upgrade has no body, so only its head can have a fault.
  if (isProper || !hasProperHead) {
    test(`an upgrade to an offer connection in an answer with ${name}: accepted ${isProper}`, async (t) => {
      const lines = `connection: upgrade\r\nupgrade: ${offerProtocol}\r\n`;
      const proper = { status: "101 X", lines, body: "" };
      let isClosed = false;
      const { port, close } = await startRawServer(
        { host, port: 0 },
        ({ socket }) => {
          socket.once("close", () => {
            isClosed = true;
          });
          socket.write(answer.create(proper), "latin1");
        },
      );
      t.teardown(close);
      const node = createNode({ host, port });
      openOfferConnection(node, { host, port });
      const { open } = node.offerConnections;
      t.true(await waitUntil(() => open.size > 0 || isClosed));
      t.is(open.size, isProper ? 1 : 0);
      open.forEach((connection) => connection.close());
    });
  }
});

async function offer(address: NetworkAddress) {
  const node = createNode(address);
  const controller = createCallController();
  return await offerToNode(node, {
    method: "GET",
    url: "/cakes/1",
    headers: ["host", "shop.example"],
    body: Buffer.alloc(0),
  }, {
    offer: {
      ...createSampleOffer("call", { now: node.clock.now() }),
      idempotent: false,
    },
    address,
    signal: controller.signal,
    canRetry: false,
  });
}
