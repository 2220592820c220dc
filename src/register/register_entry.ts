import type { NetworkAddress } from "../runtime/network_address.ts";
import type { BackendServerAvailability } from "./backend_server_availability.ts";

/** What a backend server last published about itself. */
export interface RegisterEntry {
  /** Names one incarnation of the backend server, or several with different `bornAt`. */
  readonly identifier: string;
  readonly service: string;
  /** The address of the backend server; only its own VM reaches it. */
  readonly address: NetworkAddress;
  readonly zone: string;
  /** How many requests it processes at once. */
  readonly slots: number;
  readonly availability: BackendServerAvailability;
  /** End of the announced cold start, in milliseconds since the Unix epoch; 0 for none. */
  readonly coldUntil: number;
  /** Start of the incarnation, in milliseconds since the Unix epoch; 0 where unknown. */
  readonly bornAt: number;
  /** Counts what this incarnation published. */
  readonly sequence: number;
}
