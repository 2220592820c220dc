import { isSameVersion } from "../configuration/is_same_version.ts";
import { getManifestVersion } from "../configuration/get_manifest_version.ts";
import type { Manifest } from "../configuration/manifest.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { CandidateStage } from "./candidate_stage.ts";
import { createStoreEffect } from "./create_store_effect.ts";
import type { DistributionState } from "./distribution_state.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Handles the response of a peer to the request to store the candidate, and
 * sends the parts that the peer lacks.
 */
export function handleStoreResponse(
  state: DistributionState,
  response: {
    readonly address: NetworkAddress;
    readonly manifest: Manifest;
    readonly missing: readonly string[];
    readonly now: number;
  },
): Transition {
  const { versions } = state;
  const { candidate } = versions;
  const { address, missing, now } = response;
  if (
    candidate?.stage !== CandidateStage.Replicating ||
    !isSameVersion(
      getManifestVersion(response.manifest),
      candidate.compiled.set.version,
    )
  ) {
    return createTransition(state);
  }
  if (missing.length > 0) {
    const parts = missing.flatMap((digest) =>
      candidate.compiled.set.parts.get(digest) ?? []
    );
    const peer = { address, failures: 0 };
    return {
      state,
      effects: [createStoreEffect(state, { peer, candidate, parts, now })],
    };
  }
  const { replication } = candidate;
  return createTransition({
    ...state,
    versions: {
      ...versions,
      candidate: {
        ...candidate,
        replication: {
          ...replication,
          stored: new Set([...replication.stored, formatAddress(address)]),
        },
      },
    },
  });
}
