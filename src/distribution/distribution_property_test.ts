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
const healMilliseconds = 45_000;

/** What befalls the fleet, each followed by a pause. */
type Mishap =
  | {
    readonly kind: "publish";
    readonly step: number;
    readonly variant: number;
    readonly isBad: boolean;
  }
  | { readonly kind: "restart"; readonly vm: number }
  | { readonly kind: "herd"; readonly zone: number }
  | { readonly kind: "partition"; readonly zone: number }
  | { readonly kind: "heal" }
  | { readonly kind: "platform"; readonly isDown: boolean }
  | { readonly kind: "network"; readonly lossPercent: number };

const mishapArbitrary: fc.Arbitrary<Mishap> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("publish" as const),
      // Mostly the next number, at times the same or an older one.
      step: fc.constantFrom(1, 1, 1, 0, -1),
      variant: fc.integer({ min: 1, max: 3 }),
      isBad: fc.constantFrom(false, false, false, true),
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
      kind: fc.constant("herd" as const),
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

function createText(mishap: Mishap & { kind: "publish" }, number: number) {
  const configuration = createSampleConfiguration({
    ...{ zones: 3, services: 4 },
    number,
    retryBudgetPercent: mishap.variant,
    zonesTakenOut: mishap.isBad ? ["zone-9"] : [],
  });
  return {
    text: JSON.stringify(configuration),
    snapshot: splitConfiguration(configuration).andThen(compileSnapshot)
      .unwrapOr(undefined),
  };
}

interface World {
  readonly fleet: DistributionFleet;
  readonly random: RandomSource;
  /** The number of the last publication. */
  readonly number: number;
  readonly published: readonly PublishedText[];
  /** Every node that ever ran, so that a VM's history covers its restarts. */
  readonly nodes: readonly FleetNode[];
}

async function createWorld(seed: number): Promise<World> {
  const fleet = await startDistributionFleet({ ...shape, seed });
  const first = {
    kind: "publish",
    step: 0,
    variant: 10,
    isBad: false,
  } as const;
  return {
    fleet,
    random: createRandomSource(seed),
    number: 1,
    published: [createText(first, 1)],
    nodes: fleet.getNodes(),
  };
}

function befall(world: World, mishap: Mishap): World {
  const { fleet, random } = world;
  return match(mishap)
    .with({ kind: "publish" }, (publication) => {
      const number = Math.max(1, world.number + publication.step);
      const published = createText(publication, number);
      fleet.platform.publish(published.text);
      return { ...world, number, published: [...world.published, published] };
    })
    .with({ kind: "restart" }, ({ vm }) => restart(world, [`vm-${vm}`]))
    .with({ kind: "herd" }, ({ zone }) =>
      restart(
        world,
        fleet.getNodes()
          .filter((node) => node.zone === `zone-${zone}`)
          .map(({ vm }) => vm),
      ))
    .with({ kind: "partition" }, ({ zone }) => {
      const side = fleet.getNodes().filter((node) =>
        node.zone === `zone-${zone}`
      );
      fleet.network.partition([side.map(({ address }) => address)]);
      fleet.platform.setCutOff(side.map(({ vm }) => vm));
      return world;
    })
    .with({ kind: "heal" }, () => heal(world))
    .with({ kind: "platform" }, ({ isDown }) => {
      fleet.platform.setDown(isDown);
      return world;
    })
    .with({ kind: "network" }, ({ lossPercent }) => {
      fleet.network.setScript(() => ({
        isLost: random.next() * 100 < lossPercent,
        delayMilliseconds: 1 + Math.floor(random.next() * 300),
        copies: random.next() < 0.2 ? 2 : 1,
      }));
      return world;
    })
    .exhaustive();
}

/**
 * Restarts nodes, unless half of the fleet or more would be starting: that
 * cannot be told from a first start once the others stay silent.
 */
function restart(world: World, vms: readonly string[]): World {
  const starting = world.fleet.getNodes().filter(({ vm, applied }) =>
    applied.length === 0 || vms.includes(vm)
  );
  return starting.length * 2 >= shape.vms ? world : {
    ...world,
    nodes: [...world.nodes, ...vms.map(world.fleet.start)],
  };
}

function heal(world: World): World {
  const { network, platform } = world.fleet;
  network.partition([]);
  network.setScript(() => ({}));
  platform.setCutOff([]);
  platform.setDown(false);
  return world;
}

function findFault(world: World): string | undefined {
  const expected = new Map(
    world.published.flatMap(({ snapshot }) =>
      snapshot === undefined ? [] : [[snapshot.version.digest, snapshot]]
    ),
  );
  const histories = groupByVm(world.nodes);
  const fallen = [...histories].find(([, snapshots]) =>
    snapshots.some((snapshot, index) =>
      index > 0 &&
      compareVersions(
          snapshot.version,
          (snapshots[index - 1] ?? snapshot).version,
        ) < 0
    )
  );
  if (fallen !== undefined) {
    return `${fallen[0]} went back: ${
      fallen[1].map(({ version }) =>
        `${version.number}/${version.digest.slice(0, 4)}`
      ).join(" ")
    }`;
  }
  const partial = [...histories.values()].flat().find((snapshot) =>
    !isWhole(snapshot, expected.get(snapshot.version.digest))
  );
  if (partial !== undefined) {
    return `version ${partial.version.number} was applied in part`;
  }
  const final = world.fleet.getNodes().map(({ runtime }) =>
    runtime.getSnapshot()?.version.digest ?? "none"
  );
  return new Set(final).size === 1 && final[0] !== "none"
    ? undefined
    : `the fleet ends on ${final.map((digest) => digest.slice(0, 4))}`;
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

function isWhole(snapshot: Snapshot, expected: Snapshot | undefined): boolean {
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

test("whatever befalls a fleet, no VM goes back, no version is applied in part, and all nodes end on one version", async (t) => {
  t.timeout(110_000);
  await fc.assert(
    fc.asyncProperty(
      fc.array(
        fc.record({
          mishap: mishapArbitrary,
          pauseMilliseconds: fc.integer({ min: 1, max: 6_000 }),
        }),
        { minLength: 1, maxLength: 14 },
      ),
      fc.integer({ min: 1, max: 1_000_000 }),
      async (mishaps, seed) => {
        const world = await mishaps.reduce(
          async (before, { mishap, pauseMilliseconds }) => {
            const after = befall(await before, mishap);
            await after.fleet.advanceBy(pauseMilliseconds);
            return after;
          },
          createWorld(seed),
        );
        heal(world);
        await world.fleet.advanceBy(healMilliseconds);
        assert.equal(findFault(world), undefined);
      },
    ),
    { seed: 20261203, numRuns: runs, endOnFailure: true },
  );
  t.pass();
});
