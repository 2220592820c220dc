import { compileSnapshot } from "../configuration/compile_snapshot.ts";
import type { ConfigurationSet } from "../configuration/configuration_set.ts";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import type { Snapshot } from "../configuration/snapshot.ts";
import { CandidateStage } from "./candidate_stage.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getHeldVersion } from "./get_held_version.ts";
import { keepNeededParts } from "./keep_needed_parts.ts";
import { refuseContent } from "./refuse_content.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/**
 * Compiles a whole version. A valid one that is newer than any held becomes
 * the candidate; an invalid one is refused and leaves everything as it was.
 */
export function acceptSet(
  state: DistributionState,
  offer: {
    readonly set: ConfigurationSet;
    readonly source: string;
    readonly fromPlatform: boolean;
  },
  context: DistributionContext,
): Transition {
  const { set, source } = offer;
  const { versions } = state;
  if (
    !isNewerVersion(set.version, getHeldVersion(versions)) ||
    versions.refusedDigests.includes(set.version.digest)
  ) {
    return stay(state);
  }
  return compileSnapshot(set, versions.inForce).match({
    Ok: (snapshot) => stay(setCandidate(state, { ...offer, snapshot })),
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
  offer: {
    readonly set: ConfigurationSet;
    readonly snapshot: Snapshot;
    readonly source: string;
    readonly fromPlatform: boolean;
  },
): DistributionState {
  const { set, snapshot, source, fromPlatform } = offer;
  const { versions } = state;
  return keepNeededParts({
    ...state,
    versions: {
      ...versions,
      candidate: {
        compiled: { set, snapshot },
        source,
        fromPlatform,
        stage: CandidateStage.AwaitingStartup,
        deadline: Infinity,
        replication: { asked: new Set(), stored: new Set() },
      },
      parts: new Map([...versions.parts, ...set.parts]),
    },
  });
}
