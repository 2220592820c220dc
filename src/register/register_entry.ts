import type { NetworkAddress } from "../runtime/network_address.ts";
import type { BackendServerAvailability } from "./backend_server_availability.ts";

/** The last entry that a backend server published about itself in the register. */
export interface RegisterEntry {
  /** Identifier under which the register lists the backend server. Incarnations that share it differ in `bornAt`. */
  readonly identifier: string;
  readonly service: string;
  /** The address of the backend server, which is reachable only from its own VM. */
  readonly address: NetworkAddress;
  readonly zone: string;
  /** The most calls that the backend server processes at once. */
  readonly slots: number;
  readonly availability: BackendServerAvailability;
  /** End of the announced cold start, in milliseconds since the Unix epoch; 0 for none. */
  readonly coldUntil: number;
  /** Start of the incarnation, in milliseconds since the Unix epoch; 0 if unknown. */
  readonly bornAt: number;
  /** Sequence number of the entry within the incarnation. */
  readonly sequence: number;
}
