import { notePeerFailed } from "../peers/note_peer_failed.ts";
import { match } from "ts-pattern";
import { CallPurpose } from "./call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { failPull } from "./fail_pull.ts";
import { noteConfirmationFailure } from "./note_confirmation_failure.ts";
import { noteStartupFailure } from "./note_startup_failure.ts";
import type { PeerCall } from "./peer_call.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/** Notes that a call to a peer failed: the peer is avoided for a while. */
export function takeCallFailure(
  state: DistributionState,
  { address, purpose }: PeerCall,
  context: DistributionContext,
): Transition {
  const noted: DistributionState = {
    ...state,
    peers: notePeerFailed(state.peers, address, context),
  };
  return match(purpose)
    .with(CallPurpose.Pull, () => failPull(state, { address, context }))
    .with(
      CallPurpose.StartupQuestion,
      () => stay(noteStartupFailure(noted, address)),
    )
    .with(
      CallPurpose.Confirmation,
      () => stay(noteConfirmationFailure(noted, context)),
    )
    .with(
      CallPurpose.AntiEntropy,
      CallPurpose.Push,
      CallPurpose.Replication,
      () => stay(noted),
    )
    .exhaustive();
}
