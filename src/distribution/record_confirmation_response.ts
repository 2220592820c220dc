import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { NodeState } from "../peers/node_state.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";

/**
 * Records the response of a peer to a confirmation of the view. A peer that is
 * starting or confirming its own view cannot confirm that of this node, but the
 * version that it reports counts.
 */
export function recordConfirmationResponse(
  state: DistributionState,
  response: {
    readonly purpose: PeerCallPurpose;
    readonly message: ExchangeMessage;
    readonly context: DistributionContext;
  },
): DistributionState {
  const { confirmation } = state;
  const { purpose, message: { record, heldVersion }, context } = response;
  if (confirmation === undefined || purpose !== PeerCallPurpose.Confirmation) {
    return state;
  }
  const isUnconfirmed = record.state === NodeState.ConfirmingView ||
    record.state === NodeState.Starting;
  return {
    ...state,
    confirmation: {
      ...confirmation,
      pending: Math.max(0, confirmation.pending - 1),
      answered: confirmation.answered || !isUnconfirmed,
      unconfirmedPeerResponded: confirmation.unconfirmedPeerResponded ||
        isUnconfirmed,
      minimumVersion: isNewerVersion(heldVersion, confirmation.minimumVersion)
        ? heldVersion
        : confirmation.minimumVersion,
      deadline: isUnconfirmed ? confirmation.deadline : Math.min(
        confirmation.deadline,
        context.now + distributionLimits.confirmationResponseWaitMilliseconds,
      ),
    },
  };
}
