import type { NetworkAddress } from "../runtime/network_address.ts";

/** A backend server of the register, compiled. */
export interface BackendServer {
  /** The name, unique in the register. */
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  /** The VM that runs the backend server and the node beside it. */
  readonly vm: string;
  /** The address that the backend server listens on; only the node beside it connects to it. */
  readonly address: NetworkAddress;
  /** The address on which the node beside it listens for other nodes. */
  readonly nodeAddress: NetworkAddress;
  /** The concurrency limit once the backend server is warm, in calls. */
  readonly slots: number;
  /** The concurrency limit at the beginning of a cold start, in calls. */
  readonly coldSlots: number;
  /** The number of simultaneous connections that the backend server accepts. */
  readonly connections: number;
  /**
   * Whether the operators have marked it as leaving; a leaving backend server
   * gets no new calls.
   */
  readonly leaving: boolean;
}
