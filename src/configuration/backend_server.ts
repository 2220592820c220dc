import type { NetworkAddress } from "../runtime/network_address.ts";

/** A backend server of the asset register. */
export interface BackendServer {
  /** Unique in the register. */
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  /** The VM that runs the backend server and the node beside it. */
  readonly vm: string;
  /** Where the backend server itself listens; only the node beside it connects there. */
  readonly address: NetworkAddress;
  /** Where the node beside it listens for other nodes. */
  readonly nodeAddress: NetworkAddress;
  /** How many calls it may run at once when warm. */
  readonly slots: number;
  /** How many calls it may run at once when it has just started. */
  readonly coldSlots: number;
  /** How many connections it accepts. */
  readonly connections: number;
  /** Whether the operators have marked it as leaving: it takes no new work. */
  readonly leaving: boolean;
}
