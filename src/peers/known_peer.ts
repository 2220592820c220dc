import type { Version } from "../configuration/version.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";

/**
 * A node that this node may call, and the results of earlier calls. Instants
 * are in milliseconds since the Unix epoch.
 */
export interface KnownPeer {
  readonly address: NetworkAddress;
  /** Undefined until the node at a seed address has reported its VM. */
  readonly vm: string | undefined;
  readonly zone: string | undefined;
  /** Named by the settings: never removed. */
  readonly isSeed: boolean;
  /** In the VM list of the platform when it was last read. */
  readonly isListed: boolean;
  /** In the register of the configuration in force. */
  readonly isRegistered: boolean;
  /** Failed control requests since the node last responded or sent a request. */
  readonly failures: number;
  /**
   * Before this instant the peer is chosen only if all peers are being avoided;
   * 0 if no call has failed since the last contact.
   */
  readonly avoidUntil: number;
  /** The highest version that the node has reported to store completely. */
  readonly heldVersion: Version | undefined;
  /** When the node last responded or sent a request; 0 for never. */
  readonly heardAt: number;
}
