import { compareVersions } from "../../src/configuration/compare_versions.ts";
import type { Snapshot } from "../../src/configuration/snapshot.ts";
import type { Version } from "../../src/configuration/version.ts";
import { DistributionMethod } from "../../src/distribution/distribution_method.ts";
import type { FleetNode } from "../../src/testing/fleet_node.ts";
import { formatAddress } from "../../src/runtime/format_address.ts";
import type { StepDefinition } from "../runner/step_definition.ts";
import { replaceParts } from "./replace_parts.ts";
import { createFleetConfiguration } from "./create_fleet_configuration.ts";
import type { FleetSimulation } from "./fleet_simulation.ts";
import { getVersionHistory } from "./get_version_history.ts";
import { recordVersionHistory } from "./record_version_history.ts";

const vmNames = Array.from({ length: 12 }, (_, index) => `vm-${index + 1}`);
const settleMilliseconds = 15_000;

/** Step definitions for the scenarios about the distribution. */
export const fleetSteps: readonly StepDefinition<FleetSimulation>[] = [
  {
    expression: "twelve nodes in three zones with version {int} in force",
    async run(simulation, { values: [number] }) {
      publish(simulation, { number: Number(number) });
      vmNames.forEach((vm) => simulation.fleet.start(vm));
      await simulation.fleet.advanceBy(settleMilliseconds);
    },
  },
  {
    expression: "twelve nodes in three zones that have not started",
    run() {},
  },
  {
    expression: "version {int} is published",
    run: (simulation, { values: [number] }) =>
      publish(simulation, { number: Number(number) }),
  },
  {
    expression: "version {int} is published with different contents",
    run: (simulation, { values: [number] }) =>
      publish(simulation, { number: Number(number), retryBudgetPercent: 77 }),
  },
  {
    expression: "version {int} is published with {int} service(s)",
    run: (simulation, { values: [number, services] }) =>
      publish(simulation, {
        number: Number(number),
        services: Number(services),
      }),
  },
  {
    expression: "version {int} is published with a route to an unknown service",
    run: (simulation, { values: [number] }) =>
      publish(simulation, { number: Number(number), hasUnknownService: true }),
  },
  {
    expression: "the platform returns version {int} from now on",
    run: (simulation, { values: [number] }) =>
      publish(simulation, { number: Number(number) }),
  },
  {
    expression: "the platform goes down",
    run: (simulation) => simulation.fleet.platform.setDown(true),
  },
  {
    expression: "the platform recovers",
    run: (simulation) => simulation.fleet.platform.setDown(false),
  },
  {
    expression: "{int} ms pass",
    run: (simulation, { values: [milliseconds] }) =>
      simulation.fleet.advanceBy(Number(milliseconds)),
  },
  {
    expression: "the nodes {string} start/restart",
    run: (simulation, { values: [names] }) =>
      resolveVmNames(simulation, names).forEach((vm) => {
        recordVersionHistory(simulation, vm);
        simulation.fleet.start(vm);
      }),
  },
  {
    expression: "the nodes {string} are killed",
    run: (simulation, { values: [names] }) =>
      resolveVmNames(simulation, names).forEach((vm) => {
        recordVersionHistory(simulation, vm);
        simulation.fleet.kill(vm);
      }),
  },
  {
    expression: "a network partition isolates {string}",
    run(simulation, { values: [names] }) {
      const addresses = vmNames.map((_, index) => getAddress(index));
      const inside = addresses.filter((_, index) =>
        resolveVmNames(simulation, names).includes(vmNames[index] ?? "")
      );
      const outside = addresses.filter((address) => !inside.includes(address));
      simulation.fleet.network.partition([inside, outside]);
    },
  },
  {
    expression: "the network partition heals",
    run: (simulation) => simulation.fleet.network.partition([]),
  },
  {
    expression:
      "messages are delayed by {int} to {int} ms and some are duplicated",
    run(simulation, { values: [minimum, maximum] }) {
      const delayRange = Number(maximum) - Number(minimum);
      let count = 0;
      simulation.rules.unshift(() => {
        count += 1;
        // Deterministic delays that are spread over the range.
        const fraction = (count * 7) % 11 / 10;
        const delayMilliseconds = Number(minimum) +
          Math.round(fraction * delayRange);
        return { delayMilliseconds, copies: count % 3 === 0 ? 2 : 1 };
      });
    },
  },
  {
    expression: "only one reader can reach the platform",
    run(simulation) {
      simulation.connectedReader = getReaders(simulation)[0] ?? "";
      simulation.fleet.platform.setDisconnectedVms(
        vmNames.filter((vm) => vm !== simulation.connectedReader),
      );
    },
  },
  {
    expression: "every request for parts is lost",
    run: (simulation) =>
      void simulation.rules.unshift((message) =>
        message.method === DistributionMethod.ReadParts
          ? { isLost: true }
          : undefined
      ),
  },
  {
    expression: "messages from and to {string} are lost",
    run(simulation, { values: [names] }) {
      const lostAddresses = resolveVmNames(simulation, names).map((vm) =>
        formatAddress(getAddress(vmNames.indexOf(vm)))
      );
      simulation.rules.unshift(({ from, to }) =>
        lostAddresses.includes(from) || lostAddresses.includes(to)
          ? { isLost: true }
          : undefined
      );
    },
  },
  {
    expression: "messages are delivered again",
    run: (simulation) => void simulation.rules.splice(0),
  },
  {
    expression: "the nodes {string} return corrupt parts",
    run: (simulation, { values: [names] }) =>
      getNodes(simulation, names).forEach((node) =>
        replaceParts(simulation, node, (part) => [alterPart(part)])
      ),
  },
  {
    expression: "the nodes {string} return no parts",
    run: (simulation, { values: [names] }) =>
      getNodes(simulation, names).forEach((node) =>
        replaceParts(simulation, node, () => [])
      ),
  },
  {
    expression: "the nodes {string} confirm their view",
    async run(simulation, { values: [names] }) {
      const confirmations = getNodes(simulation, names).map((node) =>
        node.runtime.confirmView()
      );
      await simulation.fleet.advanceBy(settleMilliseconds);
      await Promise.all(confirmations);
    },
  },
  {
    expression: "version {int} is in force on {string}",
    run: (simulation, { values: [number, names], assert }) =>
      void assert.deepEqual(
        resolveVmNames(simulation, names).map((vm) =>
          getVersionInForce(simulation, vm)?.number
        ),
        resolveVmNames(simulation, names).map(() => Number(number)),
      ),
  },
  {
    expression: "version {int} is in force everywhere",
    run: (simulation, { values: [number], assert }) =>
      void assert.deepEqual(
        vmNames.map((vm) => getVersionInForce(simulation, vm)?.number),
        vmNames.map(() => Number(number)),
      ),
  },
  {
    expression: "the same contents are in force everywhere",
    run(simulation, { assert }) {
      const digests = vmNames.map((vm) =>
        getVersionInForce(simulation, vm)?.digest
      );
      assert.deepEqual(digests, digests.map(() => digests[0]));
      assert.not(digests[0], undefined);
      const contents = vmNames.map((vm) => {
        const snapshot = simulation.fleet.getNode(vm)?.applied.at(-1);
        return snapshot === undefined ? "" : formatContents(snapshot);
      });
      assert.is(new Set(contents).size, 1);
    },
  },
  {
    expression: "only one set of contents of version {int} was in force",
    run(simulation, { values: [number], assert }) {
      const digests = vmNames.flatMap((vm) =>
        getVersionHistory(simulation, vm)
          .filter((version) => version.number === Number(number))
          .map((version) => version.digest)
      );
      const contents = vmNames.flatMap((vm) =>
        simulation.fleet.getNode(vm)?.applied.filter((snapshot) =>
          snapshot.version.number === Number(number)
        ).map((snapshot) => formatContents(snapshot)) ?? []
      );
      assert.is(new Set(digests).size, 1);
      assert.is(new Set(contents).size, 1);
    },
  },
  {
    expression: "no version is in force on {string}",
    run: (simulation, { values: [names], assert }) =>
      void assert.deepEqual(
        resolveVmNames(simulation, names).map((vm) =>
          getVersionInForce(simulation, vm)
        ),
        resolveVmNames(simulation, names).map(() => undefined),
      ),
  },
  {
    expression: "no VM ever reverted to an older version",
    run(simulation, { assert }) {
      const reversions = vmNames.flatMap((vm) =>
        getVersionHistory(simulation, vm).filter((version, index, all) => {
          const previous = all[index - 1];
          return previous !== undefined &&
            compareVersions(version, previous) < 0;
        }).map((version) => `${vm}: ${version.number}`)
      );
      assert.deepEqual(reversions, []);
    },
  },
  {
    expression: "version {int} was never in force",
    run(simulation, { values: [number], assert }) {
      const vmsWithVersion = vmNames.filter((vm) =>
        getVersionHistory(simulation, vm).some((version) =>
          version.number === Number(number)
        )
      );
      assert.deepEqual(vmsWithVersion, []);
    },
  },
  {
    expression: "the audit trail of {string} contains {string}",
    run: (simulation, { values: [names, kind], assert }) =>
      void assert.deepEqual(
        getNodes(simulation, names).filter((node) =>
          !node.audit.some((entry) => entry.kind === String(kind))
        ).map((node) => node.vm),
        [],
      ),
  },
  {
    expression: "every route of every node leads to a backend server",
    run(simulation, { assert }) {
      const invalidRoutes = simulation.fleet.getNodes().flatMap((node) =>
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
      assert.deepEqual(invalidRoutes, []);
    },
  },
];

function formatContents(snapshot: Snapshot): string {
  return JSON.stringify([
    [...snapshot.backendServers],
    [...snapshot.zones],
    snapshot.routes,
    snapshot.retryBudgetPercent,
  ]);
}

/** Replaces values in a part by others that the schema allows, so that only the digest reveals the change. */
function alterPart(part: object): object {
  const text = JSON.stringify(part);
  return JSON.parse(
    text
      .replaceAll('"slots":12', '"slots":11')
      .replaceAll('"retryBudgetPercent":10', '"retryBudgetPercent":99'),
  );
}

/** Returns the VMs of a list such as `vm-1, vm-2`, `all`, `all but vm-3`, `the readers` or `the reader`. */
function resolveVmNames(
  simulation: FleetSimulation,
  names: string | number | undefined,
): readonly string[] {
  const text = String(names).replace(
    "the reader ",
    `${simulation.connectedReader} `,
  )
    .replace(/the reader$/, `${simulation.connectedReader}`);
  const [, exception] = text.split("all but ");
  if (exception !== undefined) {
    return vmNames.filter((vm) => vm !== exception);
  }
  if (text === "the readers") {
    return getReaders(simulation);
  }
  return text === "all" ? vmNames : text.split(", ");
}

function getReaders(simulation: FleetSimulation): readonly string[] {
  return vmNames.filter((vm) =>
    simulation.fleet.getNode(vm)?.runtime.getStatus().isReader === true
  );
}

function getAddress(index: number) {
  return { host: "127.0.0.1", port: 7001 + index };
}

function getNodes(
  simulation: FleetSimulation,
  names: string | number | undefined,
): readonly FleetNode[] {
  return resolveVmNames(simulation, names).flatMap((vm) =>
    simulation.fleet.getNode(vm) ?? []
  );
}

function getVersionInForce(
  simulation: FleetSimulation,
  vm: string,
): Version | undefined {
  return simulation.fleet.getNode(vm)?.applied.at(-1)?.version;
}

function publish(
  simulation: FleetSimulation,
  options: Omit<Parameters<typeof createFleetConfiguration>[0], "zones">,
): void {
  simulation.fleet.platform.publish(
    createFleetConfiguration({ ...options, zones: simulation.zones }),
  );
}
