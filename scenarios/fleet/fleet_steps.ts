import { compareVersions } from "../../src/configuration/compare_versions.ts";
import type { Snapshot } from "../../src/configuration/snapshot.ts";
import type { Version } from "../../src/configuration/version.ts";
import { DistributionMethod } from "../../src/distribution/distribution_method.ts";
import type { FleetNode } from "../../src/testing/fleet_node.ts";
import { formatAddress } from "../../src/runtime/format_address.ts";
import type { StepDefinition } from "../runner/step_definition.ts";
import { corruptParts } from "./replace_parts.ts";
import { createFleetConfiguration } from "./create_fleet_configuration.ts";
import type { FleetWorld } from "./fleet_simulation.ts";
import { getHistory } from "./get_version_history.ts";
import { noteHistory } from "./record_version_history.ts";

const vms = Array.from({ length: 12 }, (_, index) => `vm-${index + 1}`);
const startMilliseconds = 15_000;

/** The steps of the scenarios about the distribution. */
export const fleetSteps: readonly StepDefinition<FleetWorld>[] = [
  {
    expression: "twelve nodes in three zones with version {int} in force",
    async run(world, { values: [number] }) {
      publish(world, { number: Number(number) });
      vms.forEach((vm) => world.fleet.start(vm));
      await world.fleet.advanceBy(startMilliseconds);
    },
  },
  {
    expression: "twelve nodes in three zones that have not started",
    run() {},
  },
  {
    expression: "version {int} is published",
    run: (world, { values: [number] }) =>
      publish(world, { number: Number(number) }),
  },
  {
    expression: "version {int} is published with other contents",
    run: (world, { values: [number] }) =>
      publish(world, { number: Number(number), retryBudgetPercent: 77 }),
  },
  {
    expression: "version {int} is published with {int} service(s)",
    run: (world, { values: [number, services] }) =>
      publish(world, { number: Number(number), services: Number(services) }),
  },
  {
    expression: "version {int} is published with a route to no service",
    run: (world, { values: [number] }) =>
      publish(world, { number: Number(number), isBad: true }),
  },
  {
    expression: "the platform shows version {int} from now on",
    run: (world, { values: [number] }) =>
      publish(world, { number: Number(number) }),
  },
  {
    expression: "the platform goes down",
    run: (world) => world.fleet.platform.setDown(true),
  },
  {
    expression: "the platform comes back",
    run: (world) => world.fleet.platform.setDown(false),
  },
  {
    expression: "{int} ms pass",
    run: (world, { values: [span] }) => world.fleet.advanceBy(Number(span)),
  },
  {
    expression: "the nodes {string} start",
    run: (world, { values: [names] }) =>
      split(world, names).forEach((vm) => {
        noteHistory(world, vm);
        world.fleet.start(vm);
      }),
  },
  {
    expression: "the nodes {string} are killed",
    run: (world, { values: [names] }) =>
      split(world, names).forEach((vm) => {
        noteHistory(world, vm);
        world.fleet.kill(vm);
      }),
  },
  {
    expression: "the network splits off {string}",
    run(world, { values: [names] }) {
      const addresses = vms.map((_, index) => getAddress(index));
      const inside = addresses.filter((_, index) =>
        split(world, names).includes(vms[index] ?? "")
      );
      const outside = addresses.filter((address) => !inside.includes(address));
      world.fleet.network.partition([inside, outside]);
    },
  },
  {
    expression: "the network heals",
    run: (world) => world.fleet.network.partition([]),
  },
  {
    expression: "messages take from {int} to {int} ms, some twice",
    run(world, { values: [least, most] }) {
      const span = Number(most) - Number(least);
      let count = 0;
      world.rules.unshift(() => {
        count += 1;
        const share = (count * 7) % 11 / 10;
        const delayMilliseconds = Number(least) + Math.round(share * span);
        return { delayMilliseconds, copies: count % 3 === 0 ? 2 : 1 };
      });
    },
  },
  {
    expression: "only one reader reaches the platform",
    run(world) {
      world.reader = getReaders(world)[0] ?? "";
      world.fleet.platform.setCutOff(
        vms.filter((vm) => vm !== world.reader),
      );
    },
  },
  {
    expression: "every request for parts is lost",
    run: (world) =>
      void world.rules.unshift((message) =>
        message.method === DistributionMethod.ReadParts
          ? { isLost: true }
          : undefined
      ),
  },
  {
    expression: "messages from and to {string} are lost",
    run(world, { values: [names] }) {
      const lost = split(world, names).map((vm) =>
        formatAddress(getAddress(vms.indexOf(vm)))
      );
      world.rules.unshift(({ from, to }) =>
        lost.includes(from) || lost.includes(to) ? { isLost: true } : undefined
      );
    },
  },
  {
    expression: "messages go through again",
    run: (world) => void world.rules.splice(0),
  },
  {
    expression: "{string} gives out corrupt parts",
    run: (world, { values: [names] }) =>
      getNodes(world, names).forEach((node) =>
        corruptParts(world, node, (part) => [corruptPart(part)])
      ),
  },
  {
    expression: "{string} gives out no parts",
    run: (world, { values: [names] }) =>
      getNodes(world, names).forEach((node) =>
        corruptParts(world, node, () => [])
      ),
  },
  {
    expression: "the nodes {string} confirm their view",
    async run(world, { values: [names] }) {
      const confirmed = getNodes(world, names).map((node) =>
        node.runtime.confirmView()
      );
      await world.fleet.advanceBy(startMilliseconds);
      await Promise.all(confirmed);
    },
  },
  {
    expression: "version {int} is in force on {string}",
    run: (world, { values: [number, names], assert }) =>
      void assert.deepEqual(
        split(world, names).map((vm) => getVersion(world, vm)?.number),
        split(world, names).map(() => Number(number)),
      ),
  },
  {
    expression: "version {int} is in force everywhere",
    run: (world, { values: [number], assert }) =>
      void assert.deepEqual(
        vms.map((vm) => getVersion(world, vm)?.number),
        vms.map(() => Number(number)),
      ),
  },
  {
    expression: "one content is in force everywhere",
    run(world, { assert }) {
      const digests = vms.map((vm) => getVersion(world, vm)?.digest);
      assert.deepEqual(digests, digests.map(() => digests[0]));
      assert.not(digests[0], undefined);
      const contents = vms.map((vm) => {
        const snapshot = world.fleet.getNode(vm)?.applied.at(-1);
        return snapshot === undefined ? "" : describe(snapshot);
      });
      assert.is(new Set(contents).size, 1);
    },
  },
  {
    expression: "one content of version {int} was in force",
    run(world, { values: [number], assert }) {
      const digests = vms.flatMap((vm) =>
        getHistory(world, vm)
          .filter((version) => version.number === Number(number))
          .map((version) => version.digest)
      );
      const contents = vms.flatMap((vm) =>
        world.fleet.getNode(vm)?.applied.filter((snapshot) =>
          snapshot.version.number === Number(number)
        ).map((snapshot) => describe(snapshot)) ?? []
      );
      assert.is(new Set(digests).size, 1);
      assert.is(new Set(contents).size, 1);
    },
  },
  {
    expression: "nothing is in force on {string}",
    run: (world, { values: [names], assert }) =>
      void assert.deepEqual(
        split(world, names).map((vm) => getVersion(world, vm)),
        split(world, names).map(() => undefined),
      ),
  },
  {
    expression: "no VM ever went back to an older version",
    run(world, { assert }) {
      const reverts = vms.flatMap((vm) =>
        getHistory(world, vm).filter((version, index, all) => {
          const before = all[index - 1];
          return before !== undefined && compareVersions(version, before) < 0;
        }).map((version) => `${vm}: ${version.number}`)
      );
      assert.deepEqual(reverts, []);
    },
  },
  {
    expression: "version {int} was never in force",
    run(world, { values: [number], assert }) {
      const seen = vms.filter((vm) =>
        getHistory(world, vm).some((one) => one.number === Number(number))
      );
      assert.deepEqual(seen, []);
    },
  },
  {
    expression: "the trail of {string} has {string}",
    run: (world, { values: [names, kind], assert }) =>
      void assert.deepEqual(
        getNodes(world, names).filter((node) =>
          !node.audit.some((entry) => entry.kind === String(kind))
        ).map((node) => node.vm),
        [],
      ),
  },
  {
    expression: "every route of every node leads to a backend server",
    run(world, { assert }) {
      const stray = world.fleet.getNodes().flatMap((node) =>
        node.applied.flatMap((snapshot) =>
          snapshot.routes.filter((route) => {
            const service = snapshot.services.get(route.service);
            return service === undefined ||
              service.backendServers.length === 0 ||
              service.backendServers.some((server) =>
                !snapshot.zones.has(server.zone)
              );
          })
        )
      );
      assert.deepEqual(stray, []);
    },
  },
];

function describe(snapshot: Snapshot): string {
  return JSON.stringify([
    [...snapshot.backendServers],
    [...snapshot.zones],
    snapshot.routes,
    snapshot.retryBudgetPercent,
  ]);
}

/** Changes a value within what the schema allows, so that the digest alone tells. */
function corruptPart(part: object): object {
  const text = JSON.stringify(part);
  return JSON.parse(
    text
      .replaceAll('"slots":12', '"slots":11')
      .replaceAll('"retryBudgetPercent":10', '"retryBudgetPercent":99'),
  );
}

/** Reads a list of VMs such as `vm-1, vm-2`, `all`, `all but vm-3`, `the readers` or `the reader`. */
function split(
  world: FleetWorld,
  names: string | number | undefined,
): readonly string[] {
  const text = String(names).replace("the reader ", `${world.reader} `)
    .replace(/the reader$/, `${world.reader}`);
  const [, exception] = text.split("all but ");
  if (exception !== undefined) {
    return vms.filter((vm) => vm !== exception);
  }
  if (text === "the readers") {
    return getReaders(world);
  }
  return text === "all" ? vms : text.split(", ");
}

function getReaders(world: FleetWorld): readonly string[] {
  return vms.filter((vm) =>
    world.fleet.getNode(vm)?.runtime.getStatus().isReader === true
  );
}

function getAddress(index: number) {
  return { host: "127.0.0.1", port: 7001 + index };
}

function getNodes(
  world: FleetWorld,
  names: string | number | undefined,
): readonly FleetNode[] {
  return split(world, names).flatMap((vm) => world.fleet.getNode(vm) ?? []);
}

function getVersion(world: FleetWorld, vm: string): Version | undefined {
  return world.fleet.getNode(vm)?.applied.at(-1)?.version;
}

function publish(
  world: FleetWorld,
  options: Omit<Parameters<typeof createFleetConfiguration>[0], "zones">,
): void {
  world.fleet.platform.publish(
    createFleetConfiguration({ ...options, zones: world.zones }),
  );
}
