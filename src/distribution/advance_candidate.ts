import { match } from "ts-pattern";
import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { applyCandidate } from "./apply_candidate.ts";
import type { Candidate } from "./candidate.ts";
import { CandidateStage } from "./candidate_stage.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { isReplicated } from "./is_replicated.ts";
import { replicateCandidate } from "./replicate_candidate.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Moves the candidate to its next stage once the condition of the current stage
 * is met or its deadline has passed.
 */
export function advanceCandidate(
  state: DistributionState,
  context: DistributionContext,
): Transition {
  const { candidate } = state.versions;
  if (candidate === undefined || state.stopping) {
    return createTransition(state);
  }
  return match(candidate.stage)
    .with(
      CandidateStage.AwaitingStartup,
      () => advanceFromStartup(state, candidate, context),
    )
    .with(
      CandidateStage.Replicating,
      () =>
        isReplicated(state, candidate) || candidate.deadline <= context.now
          ? prepareCandidate(state, candidate, context)
          : replicateCandidate(state, candidate, context),
    )
    .with(
      CandidateStage.Preparing,
      () =>
        candidate.deadline <= context.now
          ? applyCandidate(state, candidate, context)
          : createTransition(state),
    )
    .exhaustive();
}

/**
 * Ends the wait for the startup query once it is complete. A first version
 * that is older than one reported by a peer keeps waiting: a restarted node
 * could otherwise return to an older version than it ran before.
 */
function advanceFromStartup(
  state: DistributionState,
  candidate: Candidate,
  context: DistributionContext,
): Transition {
  const isBelowMinimum = state.versions.inForce === undefined &&
    isNewerVersion(
      state.startup.minimumVersion,
      candidate.compiled.set.version,
    );
  if (!state.startup.isComplete || isBelowMinimum) {
    return createTransition(state);
  }
  return candidate.fromPlatform
    ? chainSteps(
      setStage(state, candidate, {
        stage: CandidateStage.Replicating,
        deadline: context.now +
          distributionLimits.replicationTimeoutMilliseconds,
      }),
      [(current) => advanceCandidate(current, context)],
    )
    : prepareCandidate(state, candidate, context);
}

function prepareCandidate(
  state: DistributionState,
  candidate: Candidate,
  { now }: DistributionContext,
): Transition {
  return {
    state: setStage(state, candidate, {
      stage: CandidateStage.Preparing,
      deadline: now + distributionLimits.prepareTimeoutMilliseconds,
    }),
    effects: [{
      kind: DistributionEffectKind.PrepareSnapshot,
      snapshot: candidate.compiled.snapshot,
    }],
  };
}

function setStage(
  state: DistributionState,
  candidate: Candidate,
  change: Pick<Candidate, "stage" | "deadline">,
): DistributionState {
  return {
    ...state,
    versions: { ...state.versions, candidate: { ...candidate, ...change } },
  };
}
