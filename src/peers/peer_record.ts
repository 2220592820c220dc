import type { Version } from "../configuration/version.ts";
import type { BackendServerState } from "../health/backend_server_state.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { NodeState } from "./node_state.ts";

/**
 * The record that a node publishes about itself to its peers. Only its owner
 * writes it; the record with the higher (incarnation, sequence) replaces the
 * other.
 */
export interface PeerRecord {
  readonly vm: string;
  readonly zone: string;
  readonly nodeAddress: NetworkAddress;
  /** The instant at which the process started, in milliseconds since the Unix epoch. */
  readonly incarnation: number;
  /** Raised with every published change of the record. */
  readonly sequence: number;
  readonly state: NodeState;
  readonly backendServerState: BackendServerState;
  /** How many more calls the backend server could be sent now. */
  readonly freeSlots: number;
  /** The version in force on the node. */
  readonly version: Version | undefined;
}
