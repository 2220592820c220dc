import { getManifestVersion } from "../configuration/get_manifest_version.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Manifest } from "../configuration/manifest.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import { createPeerCallEffect } from "./create_peer_call_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import { failPull } from "./fail_pull.ts";
import { findMissingParts } from "./find_missing_parts.ts";
import { getHighestStoredVersion } from "./get_highest_stored_version.ts";
import { removeUnusedParts } from "./remove_unused_parts.ts";
import { createTransition } from "./create_transition.ts";
import { handlePulledParts } from "./handle_pulled_parts.ts";
import type { Transition } from "./transition.ts";

/**
 * Handles the manifest that a peer sent, and requests the missing parts from
 * that peer.
 */
export function handlePulledManifest(
  state: DistributionState,
  manifest: Manifest | undefined,
  context: DistributionContext,
): Transition {
  const { pull, versions } = state;
  if (pull === undefined) {
    return createTransition(state);
  }
  const version = manifest && getManifestVersion(manifest);
  if (
    manifest === undefined || version === undefined ||
    !isNewerVersion(version, getHighestStoredVersion(versions)) ||
    versions.refusedDigests.includes(version.digest)
  ) {
    return failPull(state, { address: pull.address, context });
  }
  const missing = findMissingParts(manifest, versions.parts);
  const next = removeUnusedParts({ ...state, pull: { ...pull, manifest } });
  return missing.length === 0 ? handlePulledParts(next, [], context) : {
    state: next,
    effects: [createPeerCallEffect({ address: pull.address, failures: 0 }, {
      purpose: PeerCallPurpose.Pull,
      request: {
        method: DistributionMethod.ReadParts,
        parameters: { digests: missing },
      },
      now: context.now,
    })],
  };
}
