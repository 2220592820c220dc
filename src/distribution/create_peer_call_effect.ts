import { match } from "ts-pattern";
import type { KnownPeer } from "../peers/known_peer.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { PeerCall } from "./peer_call.ts";

/**
 * Returns the effect that calls a peer. After a failure, the call opens a new
 * connection, since the previous one may be silently broken.
 */
export function createPeerCallEffect(
  peer: Pick<KnownPeer, "address" | "failures">,
  call: Omit<PeerCall, "address"> & { readonly now: number },
): DistributionEffect {
  const { now, purpose, request } = call;
  return {
    kind: DistributionEffectKind.CallPeer,
    call: { address: peer.address, purpose, request },
    deadline: now + getTimeoutMilliseconds(purpose),
    freshConnection: peer.failures > 0,
  };
}

function getTimeoutMilliseconds(purpose: PeerCallPurpose): number {
  return match(purpose)
    .with(
      PeerCallPurpose.Pull,
      PeerCallPurpose.Replication,
      () => distributionLimits.pullCallTimeoutMilliseconds,
    )
    .with(
      PeerCallPurpose.StartupQuery,
      PeerCallPurpose.Confirmation,
      PeerCallPurpose.AntiEntropy,
      PeerCallPurpose.Push,
      () => distributionLimits.controlCallTimeoutMilliseconds,
    )
    .exhaustive();
}
