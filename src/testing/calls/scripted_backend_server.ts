import type { IncomingMessage } from "node:http";
import type { NetworkAddress } from "../../runtime/network_address.ts";

/** A backend server that selects its behaviour by the last segment of each call's path. */
export interface ScriptedBackendServer {
  readonly address: NetworkAddress;
  /** The requests that it has begun to run, in order. */
  readonly runs: IncomingMessage[];
  /** Returns how many requests had their connection closed before the answer was sent. */
  readonly getCancelled: () => number;
  close(): Promise<void>;
}
