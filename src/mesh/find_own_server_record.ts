import type { RegisterRecord } from "../register/register_record.ts";
import { getRecordsOfService } from "./get_records_of_service.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the register's record of this VM's backend server; a present record
 * takes precedence over a removed one.
 *
 * Of several present records, the one that the backend server named in its
 * answers is returned. The start that a record states is of the time of day,
 * which may have stepped back since an earlier incarnation started.
 */
export function findOwnServerRecord(
  node: Pick<MeshNode, "view" | "settings" | "addressHolder">,
): RegisterRecord | undefined {
  const { backendServer, service } = node.settings;
  const records = getRecordsOfService(node.view, service)
    .filter(({ entry }) =>
      entry.address.host === backendServer.host &&
      entry.address.port === backendServer.port
    );
  const present = records.filter(({ removedAt }) => removedAt === 0);
  const holderIdentifier = node.addressHolder.latest?.identifier;
  const holder = present.find(({ entry }) =>
    entry.identifier === holderIdentifier
  );
  if (holder !== undefined) return holder;
  const [newest] = (present.length > 0 ? present : records)
    .sort((left, right) => right.entry.bornAt - left.entry.bornAt);
  return newest;
}
