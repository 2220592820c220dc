import type { NetworkAddress } from "../runtime/network_address.ts";
import { tryParseAddress } from "../runtime/try_parse_address.ts";
import type { BackendServer } from "./backend_server.ts";
import type { BackendServerEntry } from "./backend_server_entry.ts";
import type { Service } from "./service.ts";
import type { ServicePart } from "./service_part.ts";

/**
 * Compiles a service part. `leaving` contains the names of the backend servers
 * that are marked as leaving.
 */
export function compileService(
  part: ServicePart,
  leaving: ReadonlySet<string>,
): Service {
  return {
    name: part.service,
    backendServers: part.backendServers.map((entry) =>
      compileBackendServer(entry, leaving.has(entry.name))
    ),
  };
}

function compileBackendServer(
  entry: BackendServerEntry,
  leaving: boolean,
): BackendServer {
  return {
    ...entry,
    address: parseValidatedAddress(entry.address),
    nodeAddress: parseValidatedAddress(entry.nodeAddress),
    leaving,
  };
}

/** Parses an address that the schema has validated, so the fallback is unreachable. */
function parseValidatedAddress(text: string): NetworkAddress {
  return tryParseAddress(text) ?? { host: text, port: 0 };
}
