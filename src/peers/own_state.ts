import type { PeerRecord } from "./peer_record.ts";

/** The parts of a node's own record that lie outside the distribution. */
export type OwnState = Pick<
  PeerRecord,
  "state" | "backendServerState" | "freeSlots"
>;
