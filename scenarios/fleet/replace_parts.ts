import { DistributionMethod } from "../../src/distribution/distribution_method.ts";
import type { FleetNode } from "../../src/testing/fleet_node.ts";
import type { FleetWorld } from "./fleet_simulation.ts";

interface PartsAnswer {
  readonly parts?: readonly object[];
}

/** Lets a node answer every request for parts with contents that do not fit their digests, or with none. */
export function corruptParts(
  world: FleetWorld,
  node: FleetNode,
  corrupt: (part: object) => readonly object[],
): void {
  world.fleet.network.listen(node.address, async (method, parameters) => {
    const answer = await node.runtime.handleControlMethod(method, parameters);
    if (method !== DistributionMethod.ReadParts) {
      return answer;
    }
    const { parts = [] } = answer as PartsAnswer;
    return { parts: parts.flatMap(corrupt) };
  });
}
