import type { DistributionState } from "./distribution_state.ts";

/** Lets go of the parts that belong to no version held and to no pull. */
export function keepNeededParts(state: DistributionState): DistributionState {
  const { versions, pull } = state;
  const needed = new Set(
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
        [...versions.parts].filter(([digest]) => needed.has(digest)),
      ),
    },
  };
}
