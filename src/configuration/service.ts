import type { BackendServer } from "./backend_server.ts";

/** A service with its backend servers, in the order of the register. */
export interface Service {
  readonly name: string;
  readonly backendServers: readonly BackendServer[];
}
