import { getManifestVersion } from "../configuration/get_manifest_version.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Manifest } from "../configuration/manifest.ts";
import { CallPurpose } from "./call_purpose.ts";
import { createCallEffect } from "./create_call_effect.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import { failPull } from "./fail_pull.ts";
import { findMissingParts } from "./find_missing_parts.ts";
import { getHeldVersion } from "./get_held_version.ts";
import { keepNeededParts } from "./keep_needed_parts.ts";
import { stay } from "./stay.ts";
import { takePulledParts } from "./take_pulled_parts.ts";
import type { Transition } from "./transition.ts";

/** Takes the manifest that a peer sent, and asks it for the parts that are missing here. */
export function takePulledManifest(
  state: DistributionState,
  manifest: Manifest | undefined,
  context: DistributionContext,
): Transition {
  const { pull, versions } = state;
  if (pull === undefined) {
    return stay(state);
  }
  const version = manifest && getManifestVersion(manifest);
  if (
    manifest === undefined || version === undefined ||
    !isNewerVersion(version, getHeldVersion(versions)) ||
    versions.refusedDigests.includes(version.digest)
  ) {
    return failPull(state, { address: pull.address, context });
  }
  const missing = findMissingParts(manifest, versions.parts);
  const next = keepNeededParts({ ...state, pull: { ...pull, manifest } });
  return missing.length === 0 ? takePulledParts(next, [], context) : {
    state: next,
    effects: [createCallEffect({ address: pull.address, failures: 0 }, {
      purpose: CallPurpose.Pull,
      request: {
        method: DistributionMethod.ReadParts,
        parameters: { digests: missing },
      },
      now: context.now,
    })],
  };
}
