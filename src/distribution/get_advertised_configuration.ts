import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import { CandidateStage } from "./candidate_stage.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Returns the highest version that this node advertises to its peers. A
 * candidate that waits for the startup query is not advertised: a version from
 * the platform may be older than the one that the fleet has in force, and
 * another starting node would consider it safe to apply first.
 */
export function getAdvertisedConfiguration(
  { versions }: DistributionState,
): CompiledConfiguration | undefined {
  const { candidate, inForce } = versions;
  return candidate === undefined ||
      candidate.stage === CandidateStage.AwaitingStartup
    ? inForce
    : candidate.compiled;
}
