import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Candidate } from "./candidate.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Returns the parts of the candidate that the version in force on this node
 * lacks.
 */
export function findChangedParts(
  state: DistributionState,
  candidate: Candidate,
): readonly ConfigurationPart[] {
  const partsInForce = state.versions.inForce?.set.parts;
  return [...candidate.compiled.set.parts]
    .filter(([digest]) => !partsInForce?.has(digest))
    .map(([, part]) => part);
}
