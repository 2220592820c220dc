import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { MeshBackendScript } from "./mesh_backend_script.ts";

/** A backend server of a test. */
export interface MeshBackend {
  readonly address: NetworkAddress;
  readonly identifier: string;
  /** Call identifiers of the requests that were run, in order. */
  readonly runs: string[];
  /** Headers of the last request. */
  lastHeaders: NodeJS.Dict<string | string[]>;
  /** Requests whose connection was closed before their answer. */
  cancelled: number;
  /** Replaces what it does from now on. */
  script: MeshBackendScript;
  coldMilliseconds: number;
  close(): Promise<void>;
  /** Ends every connection and stops accepting new ones. */
  crash(): Promise<void>;
  /** Accepts connections again after a crash. */
  recover(): Promise<void>;
}
