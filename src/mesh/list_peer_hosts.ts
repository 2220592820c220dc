import type { RegisterRecord } from "../register/register_record.ts";
import { getRecordsOfService } from "./get_records_of_service.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { PeerHosts } from "./peer_hosts.ts";

/**
 * Lists the hosts of the other nodes in the register, also of backend servers
 * that were removed of late: their nodes may still be there.
 */
export function listPeerHosts(node: MeshNode): PeerHosts {
  const { view, settings } = node;
  const listHosts = (records: Iterable<RegisterRecord>) =>
    new Set(Array.from(records, ({ entry }) => entry.address.host));
  const ownService = listHosts(getRecordsOfService(view, settings.service));
  const all = listHosts(view.register.values());
  const ownHost = settings.backendServer.host;
  return {
    ownService: Array.from(ownService).filter((host) => host !== ownHost),
    otherServices: Array.from(all).filter((host) =>
      host !== ownHost && !ownService.has(host)
    ),
  };
}
