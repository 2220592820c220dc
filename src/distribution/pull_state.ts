import type { Manifest } from "../configuration/manifest.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";

/** The pull of one version from one peer. */
export interface PullState {
  readonly address: NetworkAddress;
  /** Undefined until the peer has sent it. */
  readonly manifest: Manifest | undefined;
}
