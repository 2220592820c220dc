import { isNewerVersion } from "../configuration/is_newer_version.ts";
import { NodeState } from "../peers/node_state.ts";
import { CallPurpose } from "./call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { ExchangeMessage } from "./exchange_message.ts";

/**
 * Notes a peer's answer to the question after a pause. A peer that was paused
 * itself does not vouch for anything, but its version counts.
 */
export function noteConfirmationAnswer(
  state: DistributionState,
  answer: {
    readonly purpose: CallPurpose;
    readonly message: ExchangeMessage;
    readonly context: DistributionContext;
  },
): DistributionState {
  const { confirmation } = state;
  const { purpose, message: { record, heldVersion }, context } = answer;
  if (confirmation === undefined || purpose !== CallPurpose.Confirmation) {
    return state;
  }
  const isUnsure = record.state === NodeState.ConfirmingView ||
    record.state === NodeState.Starting;
  return {
    ...state,
    confirmation: {
      ...confirmation,
      pending: Math.max(0, confirmation.pending - 1),
      answered: confirmation.answered || !isUnsure,
      answeredByUnsure: confirmation.answeredByUnsure || isUnsure,
      floor: isNewerVersion(heldVersion, confirmation.floor)
        ? heldVersion
        : confirmation.floor,
      deadline: isUnsure ? confirmation.deadline : Math.min(
        confirmation.deadline,
        context.now + distributionLimits.confirmationSettleMilliseconds,
      ),
    },
  };
}
