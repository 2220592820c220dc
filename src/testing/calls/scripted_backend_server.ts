import type { IncomingMessage } from "node:http";
import type { NetworkAddress } from "../../runtime/network_address.ts";

/** A backend server that answers as the path of the call says. */
export interface ScriptedBackendServer {
  readonly address: NetworkAddress;
  /** The requests that it began to run, in order. */
  readonly runs: IncomingMessage[];
  /** Runs whose connection closed before their answer. */
  readonly getCancelled: () => number;
  close(): Promise<void>;
}
