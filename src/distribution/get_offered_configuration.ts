import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Returns the highest version that this node offers its peers. A node that has
 * not ended the question of its start offers none: what it read from the
 * platform may be older than what the fleet had in force, and another starting
 * node would take its word for a version that is safe to begin with.
 */
export function getOfferedConfiguration(
  { startup, versions }: DistributionState,
): CompiledConfiguration | undefined {
  return startup.decided
    ? versions.candidate?.compiled ?? versions.inForce
    : undefined;
}
