import type { Version } from "../configuration/version.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";

/** A node that this node may ask, and what came of asking it. */
export interface KnownPeer {
  readonly address: NetworkAddress;
  /** Undefined until the node at a seed address has told its name. */
  readonly vm: string | undefined;
  readonly zone: string | undefined;
  /** Named by the settings: never forgotten. */
  readonly isSeed: boolean;
  /** On the platform's list when it was last read. */
  readonly isListed: boolean;
  /** In the register of the configuration in force. */
  readonly isRegistered: boolean;
  /** Control calls that failed since the last one that was answered. */
  readonly failures: number;
  /** Not chosen before this instant; 0 where nothing failed. */
  readonly avoidUntil: number;
  /** The highest version that the node has said it holds whole. */
  readonly heldVersion: Version | undefined;
  /** When the node last answered or asked; 0 for never. */
  readonly heardAt: number;
}
