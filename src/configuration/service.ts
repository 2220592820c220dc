import type { BackendServer } from "./backend_server.ts";

/** A compiled service with its backend servers in register order. */
export interface Service {
  readonly name: string;
  readonly backendServers: readonly BackendServer[];
}
