import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import type { Candidate } from "./candidate.ts";
import type { DistributionState } from "./distribution_state.ts";

/** Returns the parts of the candidate that the version in force on this node does not have. */
export function findChangedParts(
  state: DistributionState,
  candidate: Candidate,
): readonly ConfigurationPart[] {
  const former = state.versions.inForce?.set.parts;
  return [...candidate.compiled.set.parts]
    .filter(([digest]) => !former?.has(digest))
    .map(([, part]) => part);
}
