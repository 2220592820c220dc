import { formatAddress } from "../runtime/format_address.ts";
import { isNewerRecord } from "./is_newer_record.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";
import { sendsOfChange } from "./sends_of_change.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/** Takes over the records that are newer than those held, and marks them to be passed on. */
export function mergeRecords(
  state: PeersState,
  records: readonly PeerRecord[],
): PeersState {
  const newer = records.filter((record) =>
    record.vm !== state.own.vm &&
    isNewerRecord(record, state.records.get(record.vm))
  );
  return newer.length === 0 ? state : {
    ...state,
    records: new Map([
      ...state.records,
      ...newer.map((record) => [record.vm, record] as const),
    ]),
    recordSends: new Map([
      ...state.recordSends,
      ...newer.map((record) => [record.vm, sendsOfChange] as const),
    ]),
    known: upsertKnownPeers(
      state.known,
      newer
        .filter((record) => !isOwnAddress(state, record))
        .map(({ vm, zone, nodeAddress }) => ({
          vm,
          zone,
          address: nodeAddress,
        })),
    ),
  };
}

function isOwnAddress(state: PeersState, record: PeerRecord): boolean {
  return formatAddress(record.nodeAddress) ===
    formatAddress(state.own.nodeAddress);
}
