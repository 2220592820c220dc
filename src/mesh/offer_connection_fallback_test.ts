import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { createPeerAnswer } from "../testing/mesh/create_peer_answer.ts";
import { publishPeer } from "../testing/mesh/publish_peer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { OfferHeader } from "./offer_header.ts";
import { offerProtocol } from "./offer_protocol.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const host = "127.0.0.98";
const calls = 6;
const settleMilliseconds = 500;
const announcement = `${OfferHeader.Protocol}: ${offerProtocol}\r\n`;

/**
 * Sends calls that only a peer can take, and counts its requests for another
 * protocol and the calls that were answered.
 */
async function countUpgrades(
  options: { readonly announces: boolean; readonly upgradeReply: string },
): Promise<{ readonly upgrades: number; readonly answered: number }> {
  let upgrades = 0;
  let answered = 0;
  await withMeshFleet({ vms: 1 }, async (fleet) => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        if (/^upgrade: /im.test(data.toString())) {
          upgrades += 1;
          socket.end(options.upgradeReply);
          return;
        }
        if (!data.includes(`${OfferHeader.Offer}:`)) return;
        const answer = createPeerAnswer("from the peer");
        socket.write(
          options.announces
            ? answer.replace("\r\n", `\r\n${announcement}`)
            : answer,
        );
      });
    });
    server.listen(fleet.settings[0]!.listeners.nodes.port, host);
    await once(server, "listening");
    publishPeer(fleet, { identifier: "peer", host });
    await fleet.backends[0]!.crash();
    await delay(settleMilliseconds);
    // One after another, since the first reply decides how the next is sent.
    for (let index = 0; index < calls; index += 1) {
      const { status, body } = await fleet.call(0);
      if (status === 200 && body === "from the peer") answered += 1;
      await delay(20);
    }
    server.close();
  });
  return { upgrades, answered };
}

async function expectUpgrades(
  t: ExecutionContext,
  options: Parameters<typeof countUpgrades>[0],
  expected: number,
): Promise<void> {
  const { upgrades, answered } = await countUpgrades(options);
  t.is(upgrades, expected);
  t.is(answered, calls);
}

serialTest(
  "a node of an earlier version gets every offer as an HTTP message",
  async (t) => {
    await expectUpgrades(t, { announces: false, upgradeReply: "" }, 0);
  },
);

serialTest(
  "a node that announces offer connections but refuses them gets HTTP messages, and few attempts",
  async (t) => {
    const upgradeReply =
      "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n";
    await expectUpgrades(t, { announces: true, upgradeReply }, 1);
  },
);

serialTest(
  "a node that switches to another protocol gets HTTP messages",
  async (t) => {
    const upgradeReply =
      "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n";
    await expectUpgrades(t, { announces: true, upgradeReply }, 1);
  },
);
