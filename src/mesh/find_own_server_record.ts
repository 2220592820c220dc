import type { RegisterRecord } from "../register/register_record.ts";
import { getRecordsOfService } from "./get_records_of_service.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the register's record of this VM's backend server; a present record
 * takes precedence over a removed one.
 */
export function findOwnServerRecord(
  node: MeshNode,
): RegisterRecord | undefined {
  const { backendServer, service } = node.settings;
  const records = getRecordsOfService(node.view, service)
    .filter(({ entry }) =>
      entry.address.host === backendServer.host &&
      entry.address.port === backendServer.port
    );
  const present = records.filter(({ removedAt }) => removedAt === 0);
  const [newest] = (present.length > 0 ? present : records)
    .sort((left, right) => right.entry.bornAt - left.entry.bornAt);
  return newest;
}
