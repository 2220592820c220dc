import { compileSnapshot } from "../configuration/compile_snapshot.ts";
import type { ConfigurationSet } from "../configuration/configuration_set.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { CandidateStage } from "./candidate_stage.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getHighestStoredVersion } from "./get_highest_stored_version.ts";
import { removeUnusedParts } from "./remove_unused_parts.ts";
import { refuseContent } from "./refuse_content.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Compiles a complete version. A valid version that is newer than every stored
 * one becomes the candidate. An invalid one is refused, and the stored versions
 * stay unchanged.
 */
export function acceptConfigurationSet(
  state: DistributionState,
  received: {
    readonly set: ConfigurationSet;
    readonly source: string;
    readonly fromPlatform: boolean;
  },
  context: DistributionContext,
): Transition {
  const { set, source } = received;
  const { versions } = state;
  if (
    !isNewerVersion(set.version, getHighestStoredVersion(versions)) ||
    versions.refusedDigests.includes(set.version.digest)
  ) {
    return createTransition(state);
  }
  return compileSnapshot(set, versions.inForce).match({
    Ok: (snapshot) =>
      createTransition(setCandidate(state, { ...received, snapshot })),
    Err: (reasons) =>
      refuseContent(state, {
        contentDigest: set.version.digest,
        version: set.version,
        reasons,
        source,
        now: context.now,
      }),
  });
}

function setCandidate(
  state: DistributionState,
  received: {
    readonly set: ConfigurationSet;
    readonly snapshot: Snapshot;
    readonly source: string;
    readonly fromPlatform: boolean;
  },
): DistributionState {
  const { set, snapshot, source, fromPlatform } = received;
  const { versions } = state;
  return removeUnusedParts({
    ...state,
    versions: {
      ...versions,
      candidate: {
        compiled: { set, snapshot },
        source,
        fromPlatform,
        stage: CandidateStage.AwaitingStartup,
        deadline: Infinity,
        replication: { requested: new Set(), stored: new Set() },
      },
      parts: new Map([...versions.parts, ...set.parts]),
    },
  });
}
