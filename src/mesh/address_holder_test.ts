import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import { StatedLimitKind } from "../gate/stated_limit_kind.ts";
import { putEntry } from "../register/put_entry.ts";
import type { RegisterEntry } from "../register/register_entry.ts";
import { waitUntil } from "../testing/calls/wait_until.ts";
import { createLoneNode } from "../testing/mesh/create_lone_node.ts";
import { createSampleEntry } from "../testing/mesh/create_sample_entry.ts";
import { createSampleOffer } from "../testing/mesh/create_sample_offer.ts";
import { createSampleSettings } from "../testing/mesh/create_sample_settings.ts";
import type { Incarnation } from "../testing/mesh/incarnation.ts";
import { MeshHeader } from "../testing/mesh/mesh_header.ts";
import { startIncarnation } from "../testing/mesh/start_incarnation.ts";
import { startRawServer } from "../testing/mesh/start_raw_server.ts";
import { createCallController } from "./create_call_controller.ts";
import type { GateOffer } from "./gate_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { offerToOwnServer } from "./offer_to_own_server.ts";
import { probeBackendServer } from "./probe_backend_server.ts";
import { updateGate } from "./update_gate.ts";

const host = "127.0.0.12";
const addressReuseMilliseconds = 200;
const ownService = "vitrine";
const otherService = "encomendas";
const ended = "server-0";
const successor = "successor";

/** A node that opens no listener, beside an address that tests use in turn. */
interface Stage {
  readonly node: MeshNode;
  /** Lists a backend server at the address in the node's register. */
  list(entry: Partial<RegisterEntry>): void;
  /** Starts an incarnation at the address. */
  start(
    options: Parameters<typeof startIncarnation>[1],
  ): Promise<Incarnation>;
  probe(): Promise<void>;
  offer(change?: Partial<GateOffer>): Promise<OfferOutcome>;
}

async function createStage(t: ExecutionContext): Promise<Stage> {
  const placeholder = await startRawServer({ host, port: 0 }, () => undefined);
  const address = { host, port: placeholder.port };
  placeholder.close();
  const node = createLoneNode(
    createSampleSettings({ backendServer: address, addressReuseMilliseconds }),
  );
  let offers = 0;
  return {
    node,
    list: (change) => {
      putEntry(
        node.view.register,
        createSampleEntry({ service: ownService, address, ...change }),
      );
      node.view.recordsByService.clear();
      updateGate(node);
    },
    start: async (options) => {
      const incarnation = await startIncarnation(address, options);
      t.teardown(() => incarnation.close().catch(() => undefined));
      return incarnation;
    },
    probe: async () => {
      node.serverProbe.nextProbeAt = 0;
      probeBackendServer(node);
      await waitUntil(() => !node.serverProbe.probing);
    },
    offer: async (change = {}) => {
      offers += 1;
      const identifier = `call-${offers}`;
      const outcome = await offerToOwnServer(node, {
        method: "GET",
        url: "/cakes/1",
        headers: ["host", "shop.example", MeshHeader.Call, identifier],
        body: Buffer.alloc(0),
      }, {
        offer: {
          ...createSampleOffer(identifier, { now: node.clock.now() }),
          ...change,
        },
        signal: createCallController().signal,
      });
      if (outcome.kind === OfferOutcomeKind.Answered) {
        for await (const _ of outcome.body);
      }
      return outcome;
    },
  };
}

/** The register lists the first incarnation, which has answered and ended. */
async function createStageAfterEnd(t: ExecutionContext): Promise<Stage> {
  const stage = await createStage(t);
  stage.list({ identifier: ended });
  const first = await stage.start({ identifier: ended });
  await stage.probe();
  t.is((await stage.offer()).kind, OfferOutcomeKind.Answered);
  await first.close();
  return stage;
}

function isUnknownServer(outcome: OfferOutcome): boolean {
  return outcome.kind === OfferOutcomeKind.Refused &&
    outcome.reason === RefusalReason.BackendServerUnknown;
}

[true, false].forEach((namesItselfInRejections) =>
  // Guards against calls under the identifier that a rejection (421) names, and
  // against further calls that are known to be rejected.
  test.serial(
    `after a rejection by a backend server that ${
      namesItselfInRejections ? "names itself" : "does not name itself"
    }, no call is sent there until the register lists it under the node's service`,
    async (t) => {
      const stage = await createStageAfterEnd(t);
      await delay(addressReuseMilliseconds);
      const foreignServer = await stage.start({
        identifier: successor,
        namesItselfInRejections,
      });
      t.true(isUnknownServer(await stage.offer()));
      t.true(isUnknownServer(await stage.offer()));
      await stage.probe();
      t.true(isUnknownServer(await stage.offer()));
      t.deepEqual(foreignServer.runs, []);
      t.is(foreignServer.rejected.length, 1);
      stage.list({ identifier: successor, bornAt: 9 });
      t.is((await stage.offer()).kind, OfferOutcomeKind.Answered);
      t.is(foreignServer.runs.length, 1);
    },
  )
);

// Guards against statements in a rejection of another service's backend server
// that is full, which does not say that it is another one than the call names.
test.serial("what a full backend server states about itself under another identifier is not used, and no further call is sent there", async (t) => {
  const stage = await createStageAfterEnd(t);
  await delay(addressReuseMilliseconds);
  const foreignServer = await stage.start({
    identifier: successor,
    rejectsAsFull: true,
  });
  const { gate } = stage.node;
  t.is((await stage.offer()).kind, OfferOutcomeKind.Refused);
  t.is(gate.departure, undefined);
  t.not(gate.statedLimit.kind, StatedLimitKind.Limited);
  t.true(isUnknownServer(await stage.offer()));
  t.is(foreignServer.rejected.length, 1);
});

// Guards against a gate that stays closed beside a backend server whose probes do
// not name it.
test.serial("after a rejection that names nobody, a probe that names nobody opens the gate again", async (t) => {
  const stage = await createStageAfterEnd(t);
  await delay(addressReuseMilliseconds);
  const server = await stage.start({
    identifier: successor,
    namesItselfInRejections: false,
    namesItselfInProbes: false,
  });
  t.true(isUnknownServer(await stage.offer()));
  t.true(isUnknownServer(await stage.offer()));
  t.is(server.rejected.length, 1);
  await stage.probe();
  stage.list({ identifier: successor, bornAt: 9 });
  t.is((await stage.offer()).kind, OfferOutcomeKind.Answered);
});

// Guards against a gate that opens without an entry of the register for whoever
// answers the probe.
test.serial("without an entry of the register, a backend server that answers the probe runs no call", async (t) => {
  const stage = await createStage(t);
  const foreignServer = await stage.start({ identifier: successor });
  await stage.probe();
  t.true(isUnknownServer(await stage.offer()));
  stage.list({ identifier: successor, service: otherService });
  t.true(isUnknownServer(await stage.offer()));
  t.deepEqual([...foreignServer.runs, ...foreignServer.rejected], []);
});

// Guards against a node that has to wait for its own reading although an offer
// shows that the register lists its backend server.
test.serial("an offer that names the backend server which answers opens the gate without an entry, one that names another does not", async (t) => {
  const stage = await createStage(t);
  const server = await stage.start({ identifier: successor });
  await stage.probe();
  t.true(isUnknownServer(await stage.offer({ identifier: ended })));
  t.true(
    isUnknownServer(
      await stage.offer({ identifier: successor, service: otherService }),
    ),
  );
  t.deepEqual(server.runs, []);
  const outcome = await stage.offer({ identifier: successor });
  t.is(outcome.kind, OfferOutcomeKind.Answered);
  t.is((await stage.offer({ identifier: ended })).kind, outcome.kind);
  t.is(server.runs.length, 2);
});

// Guards against a register entry that comes later than an offer.
test.serial("an entry under another service takes precedence over an earlier offer", async (t) => {
  const stage = await createStage(t);
  const server = await stage.start({ identifier: successor });
  await stage.probe();
  await stage.offer({ identifier: successor });
  stage.list({ identifier: successor, service: otherService });
  t.true(isUnknownServer(await stage.offer({ identifier: successor })));
  t.is(server.runs.length, 1);
});

// Guards against statements of another service's backend server that are taken
// for the own one's, and against losing those of an own one not listed yet.
[
  { service: otherService, isUsed: false },
  { service: ownService, isUsed: true },
].forEach(({ service, isUsed }) =>
  test.serial(`what a backend server states before it is listed under "${service}" is used ${isUsed}`, async (t) => {
    const stage = await createStageAfterEnd(t);
    const { gate } = stage.node;
    // The first probe may still use a connection to the one that has ended.
    await stage.probe();
    await stage.probe();
    await delay(addressReuseMilliseconds);
    await stage.start({
      identifier: successor,
      healthHeaders: {
        "test-limit": "7",
        "test-leaving": "1",
        "test-cold": "60000",
      },
    });
    await stage.probe();
    const before = { ...gate };
    stage.list({ identifier: successor, service, bornAt: 9 });
    [before, ...isUsed ? [] : [gate]].forEach((state) => {
      t.is(state.condition, ServerCondition.Down);
      t.is(state.coldUntil, 0);
      t.is(state.departure, undefined);
      t.not(state.statedLimit.kind, StatedLimitKind.Limited);
    });
    if (!isUsed) return;
    t.is(gate.condition, ServerCondition.Up);
    t.is(gate.departure?.identifier, successor);
    t.is(gate.statedLimit.kind, StatedLimitKind.Limited);
    t.true(gate.coldUntil > stage.node.clock.now() + 50_000);
  })
);
