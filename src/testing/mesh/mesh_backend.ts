import type { Socket } from "node:net";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { MeshBackendScript } from "./mesh_backend_script.ts";

/** A backend server on the loopback interface whose behaviour a test sets. */
export interface MeshBackend {
  readonly address: NetworkAddress;
  readonly identifier: string;
  /** Call identifiers of the requests that its script handled, in order. */
  readonly runs: string[];
  /** Headers of the last request that its script handled. */
  lastHeaders: NodeJS.Dict<string | string[]>;
  /** Number of requests whose connection was closed before the answer was sent. */
  cancelled: number;
  /** Connections on which it received health probes. */
  readonly probeConnections: Set<Socket>;
  /** Handles every request except health probes; a new script applies to later requests. */
  script: MeshBackendScript;
  /** Handles health probes; undefined while it answers them as a healthy one. */
  probeScript: MeshBackendScript | undefined;
  /** Remaining cold start that it reports to health probes. */
  coldMilliseconds: number;
  close(): Promise<void>;
  /** Closes every connection and the listener. */
  crash(): Promise<void>;
  /** Listens again on the same port after a crash. */
  recover(): Promise<void>;
}
