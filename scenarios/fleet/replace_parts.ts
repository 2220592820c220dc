import { DistributionMethod } from "../../src/distribution/distribution_method.ts";
import type { FleetNode } from "../../src/testing/fleet_node.ts";
import type { FleetSimulation } from "./fleet_simulation.ts";

interface PartsResponse {
  readonly parts?: readonly object[];
}

/** Lets a node answer every request for parts with contents that do not fit their digests, or with none. */
export function replaceParts(
  simulation: FleetSimulation,
  node: FleetNode,
  replacePart: (part: object) => readonly object[],
): void {
  simulation.fleet.network.listen(node.address, async (method, parameters) => {
    const response = await node.runtime.handleControlMethod(method, parameters);
    if (method !== DistributionMethod.ReadParts) {
      return response;
    }
    const { parts = [] } = response as PartsResponse;
    return { parts: parts.flatMap(replacePart) };
  });
}
