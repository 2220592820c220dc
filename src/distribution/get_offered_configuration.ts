import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import { CandidateStage } from "./candidate_stage.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Returns the highest version that this node offers its peers. A candidate
 * that waits for the question of the node's start is not offered: what came
 * from the platform may be older than what the fleet has in force, and another
 * starting node would take it for a version that is safe to begin with.
 */
export function getOfferedConfiguration(
  { versions }: DistributionState,
): CompiledConfiguration | undefined {
  const { candidate, inForce } = versions;
  return candidate === undefined ||
      candidate.stage === CandidateStage.AwaitingStartup
    ? inForce
    : candidate.compiled;
}
