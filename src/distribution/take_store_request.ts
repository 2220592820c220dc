import type * as z from "zod";
import { getManifestVersion } from "../configuration/get_manifest_version.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { acceptSet } from "./accept_set.ts";
import { addParts } from "./add_parts.ts";
import { createSet } from "./create_set.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { findMissingParts } from "./find_missing_parts.ts";
import { getHeldVersion } from "./get_held_version.ts";
import { stay } from "./stay.ts";
import type { storeVersionAnswerSchema } from "./store_version_answer_schema.ts";
import type { storeVersionRequestSchema } from "./store_version_request_schema.ts";
import type { Transition } from "./transition.ts";

/** What became of a request to hold a version. */
interface StoreOutcome extends Transition {
  readonly answer: z.infer<typeof storeVersionAnswerSchema>;
}

/**
 * Holds the version that a peer sent, if every part of it is there; otherwise
 * answers with all the parts that this node lacks, and keeps nothing.
 */
export function takeStoreRequest(
  state: DistributionState,
  request: z.infer<typeof storeVersionRequestSchema>,
  context: DistributionContext,
): StoreOutcome {
  const { manifest, parts, vm } = request;
  const { versions } = state;
  const version = getManifestVersion(manifest);
  if (!isNewerVersion(version, getHeldVersion(versions))) {
    return { ...stay(state), answer: { missing: [] } };
  }
  const set = createSet(
    manifest,
    addParts(versions.parts, { manifest, parts }),
  );
  if (set === undefined) {
    const missing = findMissingParts(manifest, versions.parts);
    return { ...stay(state), answer: { missing } };
  }
  const accepted = acceptSet(
    state,
    { set, source: vm, fromPlatform: false },
    context,
  );
  return { ...accepted, answer: { missing: [] } };
}
