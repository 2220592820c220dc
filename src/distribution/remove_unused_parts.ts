import type { DistributionState } from "./distribution_state.ts";

/**
 * Removes the parts that belong neither to a stored version nor to the
 * outstanding pull.
 */
export function removeUnusedParts(state: DistributionState): DistributionState {
  const { versions, pull } = state;
  const usedDigests = new Set(
    [
      versions.inForce?.set.manifest,
      versions.candidate?.compiled.set.manifest,
      pull?.manifest,
    ].flatMap((manifest) => manifest?.parts ?? []).map(({ digest }) => digest),
  );
  return {
    ...state,
    versions: {
      ...versions,
      parts: new Map(
        [...versions.parts].filter(([digest]) => usedDigests.has(digest)),
      ),
    },
  };
}
