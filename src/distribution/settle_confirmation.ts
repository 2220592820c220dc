import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { askConfirmation } from "./ask_confirmation.ts";
import type { ConfirmationState } from "./confirmation_state.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/**
 * Confirms the view once the answers suffice and the highest version heard is
 * in force, and asks again where nobody has answered. A node that reaches
 * neither a peer nor the platform goes on asking: what it has in force may
 * name a zone that was taken out while it slept.
 */
export function settleConfirmation(
  state: DistributionState,
  context: DistributionContext,
): Transition {
  const { confirmation } = state;
  if (confirmation === undefined) {
    return stay(state);
  }
  if (isConfirmed(state, confirmation, context)) {
    return {
      state: { ...state, confirmation: undefined },
      effects: [{ kind: DistributionEffectKind.ConfirmView }],
    };
  }
  if (confirmation.deadline > context.now) {
    return stay(state);
  }
  const waitsForVersion = confirmation.answered &&
    (state.pull !== undefined || state.versions.candidate !== undefined);
  return waitsForVersion
    ? stay({
      ...state,
      confirmation: {
        ...confirmation,
        deadline: context.now +
          distributionLimits.confirmationRetryMilliseconds,
      },
    })
    : askConfirmation(state, context);
}

function isConfirmed(
  { versions, peers }: DistributionState,
  confirmation: ConfirmationState,
  { now, settings }: DistributionContext,
): boolean {
  const { pending, answered, answeredByUnsure, askedAt, floor } = confirmation;
  const isBehind = isNewerVersion(floor, versions.inForce?.set.version) &&
    !versions.refusedDigests.includes(floor?.digest ?? "");
  const isSettled = pending === 0 || confirmation.deadline <= now;
  // When every node was paused at once, nobody is sure of anything but what all of them hold.
  const isOnlyUnsure = answeredByUnsure &&
    now >= askedAt + settings.timing.startupQuestionMilliseconds;
  const isAlone = peers.known.size === 0 && confirmation.platformFailed;
  return !isBehind && versions.candidate === undefined && isSettled &&
    (answered || isOnlyUnsure || isAlone);
}
