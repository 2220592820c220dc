import type * as z from "zod";
import { getManifestVersion } from "../configuration/get_manifest_version.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { acceptConfigurationSet } from "./accept_configuration_set.ts";
import { addParts } from "./add_parts.ts";
import { tryCreateConfigurationSet } from "./try_create_configuration_set.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { findMissingParts } from "./find_missing_parts.ts";
import { getHighestStoredVersion } from "./get_highest_stored_version.ts";
import { createTransition } from "./create_transition.ts";
import type { storeVersionResponseSchema } from "./store_version_response_schema.ts";
import type { storeVersionRequestSchema } from "./store_version_request_schema.ts";
import type { Transition } from "./transition.ts";

/** A transition and the response to the store request that caused it. */
interface HandledStoreRequest extends Transition {
  readonly answer: z.infer<typeof storeVersionResponseSchema>;
}

/**
 * Stores the version that a peer sent if all of its parts are available.
 * Otherwise the response names the parts that this node lacks, and nothing is
 * stored.
 */
export function handleStoreRequest(
  state: DistributionState,
  request: z.infer<typeof storeVersionRequestSchema>,
  context: DistributionContext,
): HandledStoreRequest {
  const { manifest, parts, vm } = request;
  const { versions } = state;
  const version = getManifestVersion(manifest);
  if (!isNewerVersion(version, getHighestStoredVersion(versions))) {
    return { ...createTransition(state), answer: { missing: [] } };
  }
  const set = tryCreateConfigurationSet(
    manifest,
    addParts(versions.parts, { manifest, parts }),
  );
  if (set === undefined) {
    const missing = findMissingParts(manifest, versions.parts);
    return { ...createTransition(state), answer: { missing } };
  }
  const accepted = acceptConfigurationSet(
    state,
    { set, source: vm, fromPlatform: false },
    context,
  );
  return { ...accepted, answer: { missing: [] } };
}
