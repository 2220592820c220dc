import type { NetworkAddress } from "../runtime/network_address.ts";
import type { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { DistributionRequest } from "./distribution_request.ts";

/** A request of this node to a peer. */
export interface PeerCall {
  readonly address: NetworkAddress;
  readonly purpose: PeerCallPurpose;
  readonly request: DistributionRequest;
}
