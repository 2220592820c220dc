import test from "ava";
import { setTimeout as delay } from "node:timers/promises";
import { CallKind } from "../routing/call_kind.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { countRuns } from "../testing/mesh/count_runs.ts";
import type { MeshFleet } from "../testing/mesh/mesh_fleet.ts";
import type { MeshFleetOptions } from "../testing/mesh/mesh_fleet_options.ts";
import { scriptAllBackends } from "../testing/mesh/script_all_backends.ts";
import { sendCompleteAnswer } from "../testing/mesh/send_complete_answer.ts";
import type { MeshResponse } from "../testing/mesh/mesh_response.ts";
import { startBlockedPeer } from "../testing/mesh/start_blocked_peer.ts";
import type { SilentPeer } from "../testing/mesh/silent_peer.ts";
import { startSilentPeer } from "../testing/mesh/start_silent_peer.ts";
import { withMeshFleet } from "../testing/mesh/with_mesh_fleet.ts";
import { CallEventKind } from "./call_event_kind.ts";
import { ContactLossCause } from "../offers/contact_loss_cause.ts";
import { OfferCheckKind } from "../offers/offer_check_kind.ts";
import { OfferStatus } from "../offers/offer_status.ts";

// Fleets share the hosts of the loopback interface, so the tests run one at a
// time.
const serialTest = test.serial;

const runMilliseconds = 900;

/**
 * Three VMs; the backend server of the first one is gone. The timers of the
 * other two nodes fire so late that they confirm an offer only after the first
 * node expects it.
 */
async function withSlowNodes(
  options: Partial<MeshFleetOptions>,
  run: (fleet: MeshFleet) => Promise<void>,
): Promise<void> {
  const timerDelays = new Map([[1, 500], [2, 500]]);
  await withMeshFleet({ vms: 3, timerDelays, ...options }, async (fleet) => {
    await fleet.backends[0]!.crash();
    scriptAllBackends(fleet, (request, response) => {
      setTimeout(() => sendCompleteAnswer(request, response), runMilliseconds);
    });
    await run(fleet);
  });
}

/** A node whose own backend server is gone, and a peer that does not respond. */
async function withSilentPeer(
  options: Partial<MeshFleetOptions>,
  run: (fleet: MeshFleet, peer: SilentPeer) => Promise<void>,
): Promise<void> {
  await withMeshFleet({ vms: 1, ...options }, async (fleet) => {
    const peer = await startSilentPeer(fleet);
    try {
      await fleet.backends[0]!.crash();
      // The node learns of the peer by its next reading of the source.
      await delay(500);
      await run(fleet, peer);
    } finally {
      peer.close();
    }
  });
}

// Guards against cutting work that a slow node confirms late, and starting it
// again elsewhere.
serialTest(
  "an idempotent call at which a backend server is at work is not given up because its node confirms it late",
  async (t) => {
    await withSlowNodes({}, async (fleet) => {
      const answer = await fleet.call(0);
      t.is(answer.status, 200);
      t.is(countRuns(fleet), 1);
      t.true(fleet.backends.every(({ cancelled }) => cancelled === 0));
    });
  },
);

// Guards against a node in its planned stop that refuses a caller while a
// backend server is at work on the call.
serialTest(
  "a stopping node does not give up a call because another node confirms it late",
  async (t) => {
    await withSlowNodes({ stopMilliseconds: 5_000 }, async (fleet) => {
      const running = fleet.call(0);
      await delay(200);
      const stopped = fleet.daemons[0]!.stop();
      const answer = await running;
      t.is(answer.status, 200);
      t.is(countRuns(fleet), 1);
      t.true(fleet.backends.every(({ cancelled }) => cancelled === 0));
      t.is(await stopped, 0);
    });
  },
);

// Guards against giving up the work of a VM that is only silent for a while.
serialTest(
  "an idempotent call is not given up while the node that has it is silent but its VM accepts connections",
  async (t) => {
    await withSilentPeer({}, async (fleet, peer) => {
      const call = fleet.call(0);
      t.true(await waitUntil(() => peer.offers.length === 1));
      await delay(1_100);
      t.false(peer.offers[0]!.destroyed);
      peer.answerFirstOffer("cake");
      const answer = await call;
      t.is(answer.status, 200);
      t.is(answer.body, "cake");
      t.is(peer.offers.length, 1);
    });
  },
);

const callsMaximum = 50;
/** Two calls that are sent at once run at the same time. */
const overlapMilliseconds = 20;

/**
 * Sends two calls at a time until the peer has the offer of one: the own backend
 * server, which comes first, has one slot. Resolves with the response to one of
 * the last two calls, a failed one if there is any.
 */
async function callUntilOffered(
  fleet: MeshFleet,
  { peer, onOffered }: {
    readonly peer: SilentPeer;
    readonly onOffered: () => void;
  },
): Promise<MeshResponse | undefined> {
  let response: MeshResponse | undefined;
  for (let count = 0; count < callsMaximum; count += 1) {
    if (peer.offers.length > 0) break;
    const calls = Promise.all([fleet.call(0), fleet.call(0)]);
    const offered = waitUntil(() => peer.offers.length > 0);
    await Promise.race([calls, offered]);
    if (peer.offers.length > 0) onOffered();
    const responses = await calls;
    response = responses.find(({ status }) => status !== 200) ?? responses[0];
  }
  return response;
}

function getLossCauses(fleet: MeshFleet): readonly (string | undefined)[] {
  return fleet.events
    .filter(({ kind }) => kind === CallEventKind.OfferLost)
    .map(({ cause }) => cause);
}

async function withSilentPeerBesideOwnServer(
  run: (fleet: MeshFleet, peer: SilentPeer) => Promise<void>,
): Promise<void> {
  await withMeshFleet({ vms: 1, slots: 1 }, async (fleet) => {
    const peer = await startSilentPeer(fleet);
    scriptAllBackends(fleet, (request, response) => {
      setTimeout(
        () => sendCompleteAnswer(request, response),
        overlapMilliseconds,
      );
    });
    try {
      await delay(500);
      await run(fleet, peer);
    } finally {
      peer.close();
    }
  });
}

// Guards against waiting until the deadline for an offer on a connection that
// went silent while new ones work.
serialTest(
  "an offer that was lost on a silent connection is made to another backend server",
  async (t) => {
    await withSilentPeerBesideOwnServer(async (fleet, peer) => {
      peer.status = OfferStatus.NotReceived;
      const onOffered = () => undefined;
      const response = await callUntilOffered(fleet, { peer, onOffered });
      t.is(response?.status, 200);
      t.is(peer.offers.length, 1);
      t.deepEqual(getLossCauses(fleet), [ContactLossCause.NotReceived]);
    });
  },
);

// Guards against waiting until the deadline for a reply that was lost on a
// connection that went silent.
serialTest(
  "a call whose reply was lost on a silent connection is offered to another backend server",
  async (t) => {
    await withSilentPeerBesideOwnServer(async (fleet, peer) => {
      peer.status = OfferStatus.Ended;
      const onOffered = () => undefined;
      const response = await callUntilOffered(fleet, { peer, onOffered });
      t.is(response?.status, 200);
      t.deepEqual(getLossCauses(fleet), [ContactLossCause.ReplyLost]);
    });
  },
);

// Guards against waiting until the deadline for a VM that is gone and closes no
// connection.
serialTest(
  "an offer whose node cannot be reached any more is made to another backend server",
  async (t) => {
    await withSilentPeerBesideOwnServer(async (fleet, peer) => {
      const onOffered = () => peer.stopListening();
      const response = await callUntilOffered(fleet, { peer, onOffered });
      t.is(response?.status, 200);
      t.deepEqual(getLossCauses(fleet), [ContactLossCause.NodeUnreachable]);
    });
  },
);

// Guards against a second run of a call whose node is only silent, and against
// an early refusal in place of its answer.
serialTest(
  "a non-idempotent call stays with a silent node until its deadline and is not reported as not run",
  async (t) => {
    const route = {
      kind: CallKind.NonIdempotent,
      timeoutMilliseconds: 1_400,
    };
    await withSilentPeer({ route }, async (fleet, peer) => {
      const startedAt = performance.now();
      const call = fleet.call(0, { method: "POST" });
      t.true(await waitUntil(() => peer.offers.length === 1));
      await delay(1_100);
      t.false(peer.offers[0]!.destroyed);
      const answer = await call;
      t.true(answer.status === 502 || answer.status === 504);
      t.true(performance.now() - startedAt >= route.timeoutMilliseconds);
      t.is(peer.offers.length, 1);
    });
  },
);

// Guards against a refusal of a call that runs, for lost packets or a full
// accept queue.
serialTest(
  "a call without another attempt stays at a VM that accepts no connections, also while its node stops",
  async (t) => {
    const route = { attemptsMaximum: 1, timeoutMilliseconds: 4_000 };
    const options = { vms: 1, route, stopMilliseconds: 6_000 };
    await withMeshFleet(options, async (fleet) => {
      const peer = await startBlockedPeer(fleet);
      try {
        await fleet.backends[0]!.crash();
        await delay(500);
        const call = fleet.call(0, { remainingMilliseconds: 4_000 });
        await peer.offered;
        const stopped = fleet.daemons[0]!.stop();
        await delay(2_000);
        peer.resume();
        const answer = await call;
        t.is(answer.status, 200);
        t.is(answer.body, "cake");
        t.is(await stopped, 0);
        const checks = fleet.events.filter(({ kind }) =>
          kind === CallEventKind.OfferChecked
        );
        t.true(
          checks.some(({ outcome }) => outcome === OfferCheckKind.NotConnected),
        );
      } finally {
        await peer.close();
      }
    });
  },
);

// Guards against a refusal as "may have run" of calls that reached no backend
// server, and against one as "not run" by a process that cannot know.
serialTest(
  "a call that certainly did not arrive at the only other node is refused as not run, one that it cannot know of is not",
  async (t) => {
    const statuses = [60_000, 100].map((recordedMilliseconds) => async () => {
      let status = 0;
      await withSilentPeer({}, async (fleet, peer) => {
        peer.status = OfferStatus.NotReceived;
        peer.recordedMilliseconds = recordedMilliseconds;
        ({ status } = await fleet.call(0));
        t.is(peer.offers.length, 1);
      });
      return status;
    });
    t.is(await statuses[0]!(), 503);
    const unknown = await statuses[1]!();
    t.true(unknown === 502 || unknown === 504);
  },
);
