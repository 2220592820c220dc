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
  /** Failed control calls since the last one that was answered. */
  readonly failures: number;
  /** The peer is not chosen before this instant; 0 if no call has failed. */
  readonly avoidUntil: number;
  /** The highest version that the node has reported to store completely. */
  readonly heldVersion: Version | undefined;
  /** When the node last answered or sent a request; 0 for never. */
  readonly heardAt: number;
}
