import { createDistributionState } from "../../src/distribution/create_distribution_state.ts";
import type { DistributionContext } from "../../src/distribution/distribution_context.ts";
import type { DistributionState } from "../../src/distribution/distribution_state.ts";
import { BackendServerState } from "../../src/health/backend_server_state.ts";
import { NodeState } from "../../src/peers/node_state.ts";

/** Returns the state of a serving node that has no peers yet. */
export function createPeerState(
  context: DistributionContext,
): DistributionState {
  return createDistributionState({
    state: NodeState.Serving,
    backendServerState: BackendServerState.Ready,
    freeSlots: 12,
  }, context);
}
