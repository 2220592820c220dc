import type { ConfigurationPart } from "../configuration/configuration_part.ts";
import { acceptSet } from "./accept_set.ts";
import { addParts } from "./add_parts.ts";
import { createSet } from "./create_set.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { failPull } from "./fail_pull.ts";
import { getSourceName } from "./get_source_name.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/** Takes the parts that a peer sent. The version is used only when every part is there. */
export function takePulledParts(
  state: DistributionState,
  parts: readonly ConfigurationPart[],
  context: DistributionContext,
): Transition {
  const { pull, versions } = state;
  if (pull?.manifest === undefined) {
    return stay(state);
  }
  const held = addParts(versions.parts, { manifest: pull.manifest, parts });
  const next = { ...state, versions: { ...versions, parts: held } };
  const set = createSet(pull.manifest, held);
  return set === undefined
    ? failPull(next, { address: pull.address, context })
    : acceptSet({ ...next, pull: undefined }, {
      set,
      source: getSourceName(state, pull.address),
      fromPlatform: false,
    }, context);
}
