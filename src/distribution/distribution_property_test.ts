import assert from "node:assert/strict";
import test from "ava";
import fc from "fast-check";
import { match } from "ts-pattern";
import { compareVersions } from "../configuration/compare_versions.ts";
import { compileSnapshot } from "../configuration/compile_snapshot.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { splitConfiguration } from "../configuration/split_configuration.ts";
import { createRandomSource } from "../runtime/create_random_source.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import { createSampleConfiguration } from "../testing/create_sample_configuration.ts";
import type { DistributionFleet } from "../testing/distribution_fleet.ts";
import type { FleetNode } from "../testing/fleet_node.ts";
import { startDistributionFleet } from "../testing/start_distribution_fleet.ts";

const shape = { vms: 6, zones: 3 };
const runs = 50;
const recoveryMilliseconds = 45_000;

/** An event in the fleet; a pause follows each. */
type FleetEvent =
  | {
    readonly kind: "publish";
    readonly step: number;
    readonly variant: number;
    readonly isInvalid: boolean;
  }
  | { readonly kind: "restart"; readonly vm: number }
  | { readonly kind: "restart-zone"; readonly zone: number }
  | { readonly kind: "partition"; readonly zone: number }
  | { readonly kind: "heal" }
  | { readonly kind: "platform"; readonly isDown: boolean }
  | { readonly kind: "network"; readonly lossPercent: number };

const fleetEventArbitrary: fc.Arbitrary<FleetEvent> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("publish" as const),
      // Mostly the next number, sometimes the same or an older one.
      step: fc.constantFrom(1, 1, 1, 0, -1),
      variant: fc.integer({ min: 1, max: 3 }),
      isInvalid: fc.constantFrom(false, false, false, true),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("restart" as const),
      vm: fc.integer({ min: 1, max: shape.vms }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("restart-zone" as const),
      zone: fc.integer({ min: 1, max: shape.zones }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("partition" as const),
      zone: fc.integer({ min: 1, max: shape.zones }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("heal" as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("platform" as const),
      isDown: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("network" as const),
      lossPercent: fc.constantFrom(0, 20, 50),
    }),
  },
);

interface PublishedText {
  readonly text: string;
  readonly snapshot: Snapshot | undefined;
}

function createText(event: FleetEvent & { kind: "publish" }, number: number) {
  const configuration = createSampleConfiguration({
    ...{ zones: 3, services: 4 },
    number,
    retryBudgetPercent: event.variant,
    zonesTakenOut: event.isInvalid ? ["zone-9"] : [],
  });
  return {
    text: JSON.stringify(configuration),
    snapshot: splitConfiguration(configuration).andThen(compileSnapshot)
      .unwrapOr(undefined),
  };
}

interface Scenario {
  readonly fleet: DistributionFleet;
  readonly random: RandomSource;
  /** The number of the last publication. */
  readonly number: number;
  readonly published: readonly PublishedText[];
  /**
   * Every node that has run, so that the history of a VM spans its restarts.
   */
  readonly nodes: readonly FleetNode[];
}

async function createScenario(seed: number): Promise<Scenario> {
  const fleet = await startDistributionFleet({ ...shape, seed });
  const first = {
    kind: "publish",
    step: 0,
    variant: 10,
    isInvalid: false,
  } as const;
  return {
    fleet,
    random: createRandomSource(seed),
    number: 1,
    published: [createText(first, 1)],
    nodes: fleet.getNodes(),
  };
}

function applyEvent(scenario: Scenario, event: FleetEvent): Scenario {
  const { fleet, random } = scenario;
  return match(event)
    .with({ kind: "publish" }, (publication) => {
      const number = Math.max(1, scenario.number + publication.step);
      const published = createText(publication, number);
      fleet.platform.publish(published.text);
      return {
        ...scenario,
        number,
        published: [...scenario.published, published],
      };
    })
    .with({ kind: "restart" }, ({ vm }) => restart(scenario, [`vm-${vm}`]))
    .with({ kind: "restart-zone" }, ({ zone }) =>
      restart(
        scenario,
        fleet.getNodes()
          .filter((node) => node.zone === `zone-${zone}`)
          .map(({ vm }) => vm),
      ))
    .with({ kind: "partition" }, ({ zone }) => {
      const side = fleet.getNodes().filter((node) =>
        node.zone === `zone-${zone}`
      );
      fleet.network.partition([side.map(({ address }) => address)]);
      fleet.platform.setDisconnectedVms(side.map(({ vm }) => vm));
      return scenario;
    })
    .with({ kind: "heal" }, () => heal(scenario))
    .with({ kind: "platform" }, ({ isDown }) => {
      fleet.platform.setDown(isDown);
      return scenario;
    })
    .with({ kind: "network" }, ({ lossPercent }) => {
      fleet.network.setScript(() => ({
        isLost: random.next() * 100 < lossPercent,
        delayMilliseconds: 1 + Math.floor(random.next() * 300),
        copies: random.next() < 0.2 ? 2 : 1,
      }));
      return scenario;
    })
    .exhaustive();
}

/**
 * Restarts nodes, unless half of the fleet or more would then be starting:
 * while the other nodes do not respond, this cannot be distinguished from a
 * first start.
 */
function restart(scenario: Scenario, vms: readonly string[]): Scenario {
  const starting = scenario.fleet.getNodes().filter(({ vm, applied }) =>
    applied.length === 0 || vms.includes(vm)
  );
  return starting.length * 2 >= shape.vms ? scenario : {
    ...scenario,
    nodes: [...scenario.nodes, ...vms.map(scenario.fleet.start)],
  };
}

function heal(scenario: Scenario): Scenario {
  const { network, platform } = scenario.fleet;
  network.partition([]);
  network.setScript(() => ({}));
  platform.setDisconnectedVms([]);
  platform.setDown(false);
  return scenario;
}

function findViolation(scenario: Scenario): string | undefined {
  const expected = new Map(
    scenario.published.flatMap(({ snapshot }) =>
      snapshot === undefined ? [] : [[snapshot.version.digest, snapshot]]
    ),
  );
  const histories = groupByVm(scenario.nodes);
  const reverted = [...histories].find(([, snapshots]) =>
    snapshots.some((snapshot, index) =>
      index > 0 &&
      compareVersions(
          snapshot.version,
          (snapshots[index - 1] ?? snapshot).version,
        ) < 0
    )
  );
  if (reverted !== undefined) {
    return `${reverted[0]} reverted to an older version: ${
      reverted[1].map(({ version }) =>
        `${version.number}/${version.digest.slice(0, 4)}`
      ).join(" ")
    }`;
  }
  const partial = [...histories.values()].flat().find((snapshot) =>
    !isComplete(snapshot, expected.get(snapshot.version.digest))
  );
  if (partial !== undefined) {
    return `version ${partial.version.number} was applied in part`;
  }
  const final = scenario.fleet.getNodes().map(({ runtime }) =>
    runtime.getSnapshot()?.version.digest ?? "none"
  );
  return new Set(final).size === 1 && final[0] !== "none"
    ? undefined
    : `the nodes did not converge: ${
      final.map((digest) => digest.slice(0, 4))
    }`;
}

function groupByVm(
  nodes: readonly FleetNode[],
): ReadonlyMap<string, readonly Snapshot[]> {
  return nodes.reduce(
    (histories, { vm, applied }) =>
      histories.set(vm, [...(histories.get(vm) ?? []), ...applied]),
    new Map<string, readonly Snapshot[]>(),
  );
}

function isComplete(
  snapshot: Snapshot,
  expected: Snapshot | undefined,
): boolean {
  const describe = ({ zones, services, backendServers, routes }: Snapshot) =>
    JSON.stringify([
      [...zones.values()],
      [...services.values()],
      [...backendServers.values()],
      routes,
    ]);
  return expected !== undefined &&
    describe(snapshot) === describe(expected) &&
    snapshot.retryBudgetPercent === expected.retryBudgetPercent;
}

test("after any sequence of events, no VM has reverted to an older version or applied a part of one, and all nodes converge to one version", async (t) => {
  t.timeout(110_000);
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record({
          event: fleetEventArbitrary,
          pauseMilliseconds: fc.integer({ min: 1, max: 6_000 }),
        }),
        { minLength: 1, maxLength: 14 },
      ),
      fc.integer({ min: 1, max: 1_000_000 }),
      async (events, seed) => {
        const scenario = await events.reduce(
          async (before, { event, pauseMilliseconds }) => {
            const after = applyEvent(await before, event);
            await after.fleet.advanceBy(pauseMilliseconds);
            return after;
          },
          createScenario(seed),
        );
        heal(scenario);
        await scenario.fleet.advanceBy(recoveryMilliseconds);
        assert.equal(findViolation(scenario), undefined);
      },
    ),
    { seed: 20261203, numRuns: runs, endOnFailure: true },
  );
  t.pass();
});
