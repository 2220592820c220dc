import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import { acceptConfigurationSet } from "./accept_configuration_set.ts";
import { addParts } from "./add_parts.ts";
import { tryCreateConfigurationSet } from "./try_create_configuration_set.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { failPull } from "./fail_pull.ts";
import { getSourceName } from "./get_source_name.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Handles the parts that a peer sent. The version is used only if all of its
 * parts are stored.
 */
export function handlePulledParts(
  state: DistributionState,
  parts: readonly ConfigurationPart[],
  context: DistributionContext,
): Transition {
  const { pull, versions } = state;
  if (pull?.manifest === undefined) {
    return createTransition(state);
  }
  const storedParts = addParts(versions.parts, {
    manifest: pull.manifest,
    parts,
  });
  const next = { ...state, versions: { ...versions, parts: storedParts } };
  const set = tryCreateConfigurationSet(pull.manifest, storedParts);
  return set === undefined
    ? failPull(next, { address: pull.address, context })
    : acceptConfigurationSet({ ...next, pull: undefined }, {
      set,
      source: getSourceName(state, pull.address),
      fromPlatform: false,
    }, context);
}
