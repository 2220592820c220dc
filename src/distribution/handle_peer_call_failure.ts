import { recordPeerFailure } from "../peers/record_peer_failure.ts";
import { match } from "ts-pattern";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { failPull } from "./fail_pull.ts";
import { recordConfirmationFailure } from "./record_confirmation_failure.ts";
import { recordStartupFailure } from "./record_startup_failure.ts";
import type { PeerCall } from "./peer_call.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/** Handles the failure of a call to a peer, which is avoided for a while. */
export function handlePeerCallFailure(
  state: DistributionState,
  { address, purpose }: PeerCall,
  context: DistributionContext,
): Transition {
  const updated: DistributionState = {
    ...state,
    peers: recordPeerFailure(state.peers, address, context),
  };
  return match(purpose)
    .with(PeerCallPurpose.Pull, () => failPull(state, { address, context }))
    .with(
      PeerCallPurpose.StartupQuery,
      () => createTransition(recordStartupFailure(updated, address)),
    )
    .with(
      PeerCallPurpose.Confirmation,
      () => createTransition(recordConfirmationFailure(updated, context)),
    )
    .with(
      PeerCallPurpose.AntiEntropy,
      PeerCallPurpose.Push,
      PeerCallPurpose.Replication,
      () => createTransition(updated),
    )
    .exhaustive();
}
