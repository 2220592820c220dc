import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { requestConfirmation } from "./request_confirmation.ts";
import type { ConfirmationState } from "./confirmation_state.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Confirms the view once enough responses were received and the highest
 * reported version is in force, and repeats the request if they do not suffice.
 * A node that reaches neither a peer nor the platform keeps repeating it: its
 * version in force may contain a zone that was taken out during the pause.
 */
export function evaluateConfirmation(
  state: DistributionState,
  context: DistributionContext,
): Transition {
  const { confirmation } = state;
  if (confirmation === undefined) {
    return createTransition(state);
  }
  if (isConfirmed(state, confirmation, context)) {
    return {
      state: { ...state, confirmation: undefined },
      effects: [{ kind: DistributionEffectKind.ConfirmView }],
    };
  }
  if (confirmation.deadline > context.now) {
    return createTransition(state);
  }
  const waitsForVersion = confirmation.answered &&
    (state.pull !== undefined || state.versions.candidate !== undefined);
  return waitsForVersion
    ? createTransition({
      ...state,
      confirmation: {
        ...confirmation,
        deadline: context.now +
          distributionLimits.confirmationRetryMilliseconds,
      },
    })
    : requestConfirmation(state, context);
}

function isConfirmed(
  { versions, peers }: DistributionState,
  confirmation: ConfirmationState,
  { now, settings }: DistributionContext,
): boolean {
  const {
    pending,
    answered,
    unconfirmedPeerResponded,
    requestedAt,
    minimumVersion,
  } = confirmation;
  const isBehind =
    isNewerVersion(minimumVersion, versions.inForce?.set.version) &&
    !versions.refusedDigests.includes(minimumVersion?.digest ?? "");
  const isWaitOver = pending === 0 || confirmation.deadline <= now;
  // If every node was paused at once, no peer has a confirmed view. What the
  // peers store is then accepted after the duration of a startup query.
  const acceptsUnconfirmedResponses = unconfirmedPeerResponded &&
    now >= requestedAt + settings.timing.startupQuestionMilliseconds;
  const hasNeitherPeersNorPlatform = peers.known.size === 0 &&
    confirmation.platformFailed;
  return !isBehind && versions.candidate === undefined && isWaitOver &&
    (answered || acceptsUnconfirmedResponses || hasNeitherPeersNorPlatform);
}
