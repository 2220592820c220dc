import type { PeerRecord } from "./peer_record.ts";

/**
 * The fields of the own record that are determined outside the distribution.
 */
export type OwnState = Pick<
  PeerRecord,
  "state" | "backendServerState" | "freeSlots"
>;
