import test, { type ExecutionContext } from "ava";
import { Result } from "true-myth";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import { FeedEndKind } from "../source/feed_end_kind.ts";
import type { SourceClient } from "../source/source_client.ts";
import type { SourceFailure } from "../source/source_failure.ts";
import { SourceFailureKind } from "../source/source_failure_kind.ts";
import type { SourceReading } from "../source/source_reading.ts";
import { SourceValueKind } from "../source/source_value_kind.ts";
import { createVirtualTime } from "../testing/create_virtual_time.ts";
import { createSampleLine } from "../testing/mesh/create_sample_line.ts";
import { createSampleOrganisation } from "../testing/mesh/create_sample_organisation.ts";
import { createSampleRoute } from "../testing/mesh/create_sample_route.ts";
import { createSampleRules } from "../testing/mesh/create_sample_rules.ts";
import { createSampleSettings } from "../testing/mesh/create_sample_settings.ts";
import { testDialect } from "../testing/mesh/test_dialect.ts";
import { authenticateCaller } from "./authenticate_caller.ts";
import { confirmRulesByLine } from "./confirm_rules_by_line.ts";
import { createMeshNode } from "./create_mesh_node.ts";
import { followMeshSource } from "./follow_mesh_source.ts";
import { getEarlyRefusalReason } from "./get_early_refusal_reason.ts";
import { getStatedRulesAge } from "./get_stated_rules_age.ts";
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
const key = "bakery-key";
const route = createSampleRoute({ name: "cakes" });
const publicRoute = createSampleRoute({ name: "menu", isPublic: true });

interface Stage {
  readonly node: ReturnType<typeof createMeshNode>;
  readonly states: string[];
  /** Lets time pass, with all timers. */
  pass(milliseconds: number): Promise<void>;
  /** Stops the process: time passes for both clocks, and no timer fires. */
  pause(milliseconds: number): void;
  /** Moves the time of day only, as a suspension of the VM or a set clock does. */
  moveTimeOfDay(milliseconds: number): void;
  /** Writes a version in which the key has been withdrawn. */
  withdraw(): void;
  setDown(down: boolean): void;
  restoreCopy(): void;
  /** Returns the organisation, or the reason of the refusal. */
  identify(options?: { readonly isPublic: boolean }): string | undefined;
  stop(): void;
}

/**
 * Starts a node that reads a slow source itself. The source answers each read
 * with what it had when the read began, as late as a watch may end.
 */
async function startStage(): Promise<Stage> {
  const time = createVirtualTime(startsAt);
  let pausedMilliseconds = 0;
  let timeOfDayOffset = 0;
  let isDown = false;
  let era = 0;
  let version = 1;
  const states: string[] = [];
  const clock = { now: () => time.clock.now() + pausedMilliseconds };
  const timers = {
    at: (instant: number, callback: () => void) =>
      time.timers.at(instant - pausedMilliseconds, callback),
  };
  const node = createMeshNode(createSampleSettings({ sourceBounds: bounds }), {
    dialect: testDialect,
    clock,
    timeOfDay: { now: () => clock.now() + timeOfDayOffset },
    timers,
    random: createRandomSource(1),
    report: {
      call: () => undefined,
      viewChange: () => undefined,
      state: (subject, { state }) => void states.push(`${subject} ${state}`),
    },
  });

  function respond(
    waitMilliseconds: number,
  ): Promise<Result<SourceReading, SourceFailure>> {
    const failure = { kind: SourceFailureKind.Unreachable, found: "cut off" };
    const organisation = createSampleOrganisation("bakery", {
      keys: version === 1 ? [key] : ["next-key"],
    });
    const reading: SourceReading = {
      era,
      revision: version,
      items: [{
        key: "rules",
        revision: version,
        fact: {
          kind: SourceValueKind.Rules,
          rules: createSampleRules({
            version,
            routes: [route, publicRoute],
            organisations: new Map([["bakery", organisation]]),
          }),
        },
      }],
    };
    const result = isDown
      ? Result.err<SourceReading, SourceFailure>(failure)
      : Result.ok<SourceReading, SourceFailure>(reading);
    return new Promise((resolve) =>
      time.timers.at(
        time.clock.now() + waitMilliseconds + slowAnswerMilliseconds,
        () => resolve(result),
      )
    );
  }

  const client: SourceClient = {
    readAll: () => respond(0),
    readChanges: (_, { waitMilliseconds }) => respond(waitMilliseconds),
    close: () => undefined,
  };
  const follower = followMeshSource(node, { client, callers: undefined });
  const stage: Stage = {
    node,
    states,
    pass: (milliseconds) => time.advanceTo(time.clock.now() + milliseconds),
    pause: (milliseconds) => {
      pausedMilliseconds += milliseconds;
    },
    moveTimeOfDay: (milliseconds) => {
      timeOfDayOffset += milliseconds;
    },
    withdraw: () => {
      version += 1;
    },
    setDown: (down) => {
      isDown = down;
    },
    restoreCopy: () => {
      era += 1;
    },
    identify: ({ isPublic } = { isPublic: false }) =>
      authenticateCaller(node, {
        route: isPublic ? publicRoute : route,
        key,
      }).match({
        Ok: (organisation) => organisation?.name,
        Err: (reason) => reason,
      }),
    stop: () => follower.stop(),
  };
  await stage.pass(2 * slowAnswerMilliseconds);
  return stage;
}

async function withStage(run: (stage: Stage) => Promise<void>): Promise<void> {
  const stage = await startStage();
  try {
    await run(stage);
  } finally {
    stage.stop();
  }
}

/** Returns the different results of calls in a time, in the order of the first ones. */
async function identifyFor(
  stage: Stage,
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
    interrupt: (stage: Stage) => stage.pause(20_000),
  },
  {
    name: "a suspended VM, whose steady clock stands still",
    interrupt: (stage: Stage) => stage.moveTimeOfDay(20_000),
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
  stage: Stage,
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
    t.is(getStatedRulesAge(stage.node), 2_000);
    t.is(stage.identify(), "bakery");
    await stage.pass(1_500);
    receiveLine(t, stage, { sentAt: 1_577, rulesAgeMilliseconds: 500 }, feed);
    t.is(getStatedRulesAge(stage.node), 500);
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
