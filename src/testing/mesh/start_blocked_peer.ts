import { once } from "node:events";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";
import { OfferHeader } from "../../mesh/offer_header.ts";
import type { BlockedPeer } from "./blocked_peer.ts";
import { createPeerAnswer } from "./create_peer_answer.ts";
import type { MeshFleet } from "./mesh_fleet.ts";
import { publishPeer } from "./publish_peer.ts";

const identifier = "blocked-peer";
/** A loopback host that no node of a fleet uses. */
const host = "127.0.0.98";
/** More connections than the accept queue of the peer takes. */
const queuedConnections = 8;

/** Blocks its event loop, and with it the accept queue, while it has an offer. */
const workerText = `
const { workerData: data, parentPort } = require("node:worker_threads");
const { createServer } = require("node:net");
const blocked = new Int32Array(data.blocked);
createServer((socket) => {
  socket.on("error", () => undefined);
  socket.once("data", (bytes) => {
    if (!bytes.includes(data.offerHeader + ":")) return;
    parentPort.postMessage("offered");
    Atomics.wait(blocked, 0, 0);
    socket.write(data.answer);
  });
}).listen({ host: data.host, port: data.port, backlog: 1 }, () =>
  parentPort.postMessage("listening"));
`;

/** Starts a peer registered beside a backend server of the fleet's service. */
export async function startBlockedPeer(fleet: MeshFleet): Promise<BlockedPeer> {
  const { port } = fleet.settings[0]!.listeners.nodes;
  const blocked = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
  const worker = new Worker(workerText, {
    eval: true,
    workerData: {
      blocked,
      host,
      port,
      offerHeader: OfferHeader.Offer,
      answer: createPeerAnswer("cake"),
    },
  });
  await once(worker, "message");
  const offered = once(worker, "message").then(fillAcceptQueue);
  publishPeer(fleet, { identifier, host });

  function fillAcceptQueue(): void {
    Array.from({ length: queuedConnections }, () => connect(port, host))
      .forEach((socket) => socket.unref().on("error", () => undefined));
  }

  function resume(): void {
    const view = new Int32Array(blocked);
    Atomics.store(view, 0, 1);
    Atomics.notify(view, 0);
  }

  return {
    offered,
    resume,
    close: async () => {
      resume();
      await worker.terminate();
    },
  };
}
