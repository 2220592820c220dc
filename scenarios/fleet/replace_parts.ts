import { DistributionMethod } from "../../src/distribution/distribution_method.ts";
import type { FleetNode } from "../../src/testing/fleet_node.ts";
import type { FleetSimulation } from "./fleet_simulation.ts";

/** The response to a request for parts. */
interface PartsResponse {
  readonly parts?: readonly object[];
}

/**
 * Replaces every part in the responses of a node to requests for parts, by a part
 * that does not match its digest or by none.
 */
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
