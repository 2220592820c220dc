import test, { type ExecutionContext } from "ava";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { FeedEndKind } from "../source/feed_end_kind.ts";
import { getSourceReadTiming } from "../source/get_source_read_timing.ts";
import { createVirtualTime } from "../testing/create_virtual_time.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { createSampleSettings } from "../testing/mesh/create_sample_settings.ts";
import type { KeyStage } from "../testing/mesh/key_stage.ts";
import { startKeyStage } from "../testing/mesh/start_key_stage.ts";
import { testDialect } from "../testing/mesh/test_dialect.ts";
import { confirmRulesByLine } from "./confirm_rules_by_line.ts";
import { createMeshNode } from "./create_mesh_node.ts";
import { getEarlyRefusalReason } from "./get_early_refusal_reason.ts";
import { getStatedRulesAgeMilliseconds } from "./get_stated_rules_age_milliseconds.ts";
import { holdRulesConfirmation } from "./hold_rules_confirmation.ts";
import { readClocks } from "./read_clocks.ts";

const startsAt = 1_000_000;
/** The operators' bound on how long a withdrawn key may be accepted. */
const withdrawalMilliseconds = 5_000;
const bounds = {
  changeMilliseconds: 2_500,
  contactMilliseconds: 3_000,
  withdrawalMilliseconds,
};
const slowAnswerMilliseconds = 250;
const probeMilliseconds = 50;

async function withStage(
  run: (stage: KeyStage) => Promise<void>,
): Promise<void> {
  const stage = await startKeyStage({
    sourceBounds: bounds,
    slowAnswerMilliseconds,
  });
  try {
    await run(stage);
  } finally {
    stage.stop();
  }
}

/** Returns the different results of calls in a time, in the order of the first ones. */
async function identifyFor(
  stage: KeyStage,
  milliseconds: number,
): Promise<readonly (string | undefined)[]> {
  const results = new Set<string | undefined>();
  // Sequential, since each step lets time pass.
  for (let passed = 0; passed < milliseconds; passed += probeMilliseconds) {
    await stage.pass(probeMilliseconds);
    results.add(stage.identify());
  }
  return Array.from(results);
}

test("calm: with a slow source, no call with a key is refused", (t) =>
  withStage(async (stage) => {
    t.deepEqual(await identifyFor(stage, 60_000), ["bakery"]);
    t.deepEqual(stage.states, ["source regained"]);
  }));

test("a withdrawn key is refused in time, also one that was withdrawn while a watch waited", (t) =>
  withStage(async (stage) => {
    await stage.pass(4_321);
    stage.withdraw();
    await stage.pass(withdrawalMilliseconds);
    t.is(stage.identify(), RefusalReason.ApiKeyUnknown);
    t.deepEqual(await identifyFor(stage, 10_000), [
      RefusalReason.ApiKeyUnknown,
    ]);
  }));

test("a node that is cut off refuses calls with keys in time, serves public routes, and accepts keys again after a reading", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.setDown(true);
    stage.withdraw();
    await stage.pass(withdrawalMilliseconds);
    t.is(stage.identify(), RefusalReason.ApiKeysUnconfirmed);
    t.deepEqual(await identifyFor(stage, 20_000), [
      RefusalReason.ApiKeysUnconfirmed,
    ]);
    t.is(stage.identify({ isPublic: true }), undefined);
    t.deepEqual(stage.states.filter((state) => state.startsWith("keys")), [
      "keys unconfirmed",
    ]);
    stage.setDown(false);
    await stage.pass(2_000);
    t.is(stage.identify(), RefusalReason.ApiKeyUnknown);
    t.is(stage.states.at(-1), "keys confirmed");
  }));

test("a node that is cut off goes on accepting keys for most of the bound", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.setDown(true);
    t.deepEqual(await identifyFor(stage, 1_500), ["bakery"]);
  }));

test("without a bound on withdrawn keys, a node that is cut off goes on accepting keys", (t) =>
  withStage(async (stage) => {
    const { withdrawalMilliseconds: _, ...sourceBounds } = bounds;
    stage.node.settings = { ...stage.node.settings, sourceBounds };
    stage.setDown(true);
    t.deepEqual(await identifyFor(stage, 20_000), ["bakery"]);
  }));

/** Every way in which time passes without a reading, from a calm start. */
const interruptions = [
  {
    name: "a paused process",
    interrupt: (stage: KeyStage) => stage.pause(20_000),
  },
  {
    name: "a suspended VM, whose steady clock stands still",
    interrupt: (stage: KeyStage) => stage.moveTimeOfDay(20_000),
  },
];

interruptions.forEach(({ name, interrupt }) =>
  [0, 700, 1_400, 2_100].forEach((offset) =>
    test(`${name} accepts no key before a read that began after it (interrupted ${offset} ms later)`, (t) =>
      withStage(async (stage) => {
        await stage.pass(5_000 + offset);
        stage.withdraw();
        interrupt(stage);
        t.is(stage.identify(), RefusalReason.ApiKeysUnconfirmed);
        const results = await identifyFor(stage, 10_000);
        t.false(results.includes("bakery"));
        t.is(stage.identify(), RefusalReason.ApiKeyUnknown);
      }))
  )
);

test("a time of day that is set back does not make the rules look younger", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.setDown(true);
    stage.moveTimeOfDay(-3_600_000);
    await stage.pass(withdrawalMilliseconds);
    t.is(stage.identify(), RefusalReason.ApiKeysUnconfirmed);
  }));

test("a time of day that is set forward costs refusals until the next read only", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.moveTimeOfDay(3_600_000);
    t.is(stage.identify(), RefusalReason.ApiKeysUnconfirmed);
    await stage.pass(4_000);
    t.deepEqual(await identifyFor(stage, 10_000), ["bakery"]);
  }));

test("a node that restarts refuses all calls until its first reading", (t) => {
  const time = createVirtualTime(startsAt);
  const node = createMeshNode(createSampleSettings({ sourceBounds: bounds }), {
    dialect: testDialect,
    ...time,
    random: createRandomSource(1),
    report: {
      call: () => undefined,
      viewChange: () => undefined,
      state: () => undefined,
    },
  });
  t.is(
    getEarlyRefusalReason(node, {
      route: undefined,
      receivedAt: startsAt,
      rawHeaders: [],
    }),
    RefusalReason.NodeStarting,
  );
});

test("source comes back from an older copy: nothing confirms the rules while operators write again", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.restoreCopy();
    const restoredAt = stage.node.clock.now();
    await stage.pass(3_000);
    const { confirmedAt } = stage.node.rulesConfirmation;
    t.true(confirmedAt !== undefined && confirmedAt.monotonic <= restoredAt);
    await stage.pass(3_000);
    t.deepEqual(stage.node.rulesConfirmation.confirmedAt, confirmedAt);
    await stage.pass(6_000);
    t.deepEqual(await identifyFor(stage, 10_000), ["bakery"]);
  }));

[true, false].forEach((hasReply) =>
  test(`a node that starts on an older copy accepts no key before operators have written again, with a neighbour: ${hasReply}`, (t) =>
    withStage(async (stage) => {
      const { view } = stage.node;
      if (hasReply) view.heldZonesUntil = stage.node.clock.now() + 3_000;
      holdRulesConfirmation(stage.node, { hasReply });
      const held = hasReply ? 3_000 : 5_000;
      t.deepEqual(await identifyFor(stage, held), [
        RefusalReason.ApiKeysUnconfirmed,
      ]);
      await stage.pass(4_000);
      t.is(stage.identify(), "bakery");
    }))
);

test("a node that starts in a later era and whose neighbour is past it accepts keys at once", (t) =>
  withStage(async (stage) => {
    holdRulesConfirmation(stage.node, { hasReply: true });
    t.is(stage.identify(), "bakery");
    await stage.pass(0);
  }));

/** Lets a cut-off node get lines of a neighbour's feed; returns why the feed ends. */
function receiveLine(
  t: ExecutionContext,
  stage: KeyStage,
  line: { readonly sentAt: number; readonly rulesAgeMilliseconds?: number },
  feed: {
    readonly requestedAt: ReturnType<typeof readClocks>;
    readonly firstSentAt: number;
  },
): FeedEndKind | undefined {
  t.true(line.sentAt >= feed.firstSentAt);
  return confirmRulesByLine(stage.node, createSampleLine(line), feed);
}

test("a node that follows a neighbour adds the age of the neighbour's rules, whatever its clock shows", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.setDown(true);
    await stage.pass(withdrawalMilliseconds);
    const feed = { requestedAt: readClocks(stage.node), firstSentAt: 77 };
    receiveLine(t, stage, { sentAt: 77, rulesAgeMilliseconds: 2_000 }, feed);
    t.is(getStatedRulesAgeMilliseconds(stage.node), 2_000);
    t.is(stage.identify(), "bakery");
    await stage.pass(1_500);
    receiveLine(t, stage, { sentAt: 1_577, rulesAgeMilliseconds: 500 }, feed);
    t.is(getStatedRulesAgeMilliseconds(stage.node), 500);
  }));

test("a time of day that is set forward ends a feed, since its lines count from before that", (t) =>
  withStage(async (stage) => {
    const feed = { requestedAt: readClocks(stage.node), firstSentAt: 0 };
    stage.moveTimeOfDay(3_600_000);
    const line = { sentAt: 10, rulesAgeMilliseconds: 0 };
    t.is(receiveLine(t, stage, line, feed), FeedEndKind.Renewed);
    await stage.pass(4_000);
    t.is(stage.identify(), "bakery");
  }));

test("a neighbour that is behind confirms nothing, and its feed ends so that the node reads the source", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.setDown(true);
    await stage.pass(withdrawalMilliseconds);
    const feed = { requestedAt: readClocks(stage.node), firstSentAt: 77 };
    [6_000, undefined].forEach((age) => {
      const line = age === undefined
        ? { sentAt: 77 }
        : { sentAt: 77, rulesAgeMilliseconds: age };
      t.is(receiveLine(t, stage, line, feed), FeedEndKind.Renewed);
      t.is(stage.identify(), RefusalReason.ApiKeysUnconfirmed);
    });
  }));

test("lines that were held up in transit, the first one too, do not look younger than they are", (t) =>
  withStage(async (stage) => {
    await stage.pass(3_000);
    stage.setDown(true);
    const feed = { requestedAt: readClocks(stage.node), firstSentAt: 77 };
    await stage.pass(withdrawalMilliseconds);
    receiveLine(t, stage, { sentAt: 77, rulesAgeMilliseconds: 0 }, feed);
    receiveLine(t, stage, { sentAt: 100, rulesAgeMilliseconds: 0 }, feed);
    t.is(stage.identify(), RefusalReason.ApiKeysUnconfirmed);
  }));

test("a feed that lasts long is renewed before the clocks of the two VMs have drifted apart", (t) =>
  withStage(async (stage) => {
    const feed = { requestedAt: readClocks(stage.node), firstSentAt: 0 };
    await stage.pass(590_000);
    const line = { sentAt: 590_000, rulesAgeMilliseconds: 100 };
    t.is(receiveLine(t, stage, line, feed), undefined);
    await stage.pass(10_000);
    const late = { sentAt: 600_000, rulesAgeMilliseconds: 100 };
    t.is(receiveLine(t, stage, late, feed), FeedEndKind.Renewed);
  }));

test("a bound on withdrawn keys shortens no watch while the rules have no organisations", async (t) => {
  const stage = await startKeyStage({
    sourceBounds: bounds,
    slowAnswerMilliseconds,
    hasOrganisations: false,
  });
  await stage.pass(60_000);
  stage.stop();
  const { withdrawalMilliseconds: _, ...otherBounds } = bounds;
  const { watchMilliseconds } = getSourceReadTiming(otherBounds);
  t.true(stage.watches.length > 10);
  t.deepEqual(new Set(stage.watches), new Set([watchMilliseconds]));
});

/** Lets a suspension of the VM pass while it follows a neighbour, and then a line arrive. */
async function resumeFollowing(
  t: ExecutionContext,
  stage: KeyStage,
): Promise<void> {
  await stage.pass(3_000);
  const feed = { requestedAt: readClocks(stage.node), firstSentAt: 0 };
  stage.moveTimeOfDay(20_000);
  const line = { sentAt: 20_000, rulesAgeMilliseconds: 100 };
  t.is(receiveLine(t, stage, line, feed), undefined);
  t.is(stage.identify(), "bakery");
}

test("after a suspension during a feed, reads of the source confirm the rules at once", (t) =>
  withStage(async (stage) => {
    await resumeFollowing(t, stage);
    t.deepEqual(await identifyFor(stage, 20_000), ["bakery"]);
  }));

test("after a suspension during a feed, a time of day that is set back does not make the rules look younger", (t) =>
  withStage(async (stage) => {
    await resumeFollowing(t, stage);
    stage.setDown(true);
    stage.moveTimeOfDay(-20_000);
    await stage.pass(withdrawalMilliseconds);
    t.is(stage.identify(), RefusalReason.ApiKeysUnconfirmed);
  }));
