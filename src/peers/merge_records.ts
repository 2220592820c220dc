import { pickBest } from "../collections/pick_best.ts";
import { formatAddress } from "../runtime/format_address.ts";
import { isNewerRecord } from "./is_newer_record.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";
import { sendsPerChange } from "./sends_per_change.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/**
 * Merges the records that are newer than the stored ones, and schedules them to
 * be passed on.
 */
export function mergeRecords(
  state: PeersState,
  records: readonly PeerRecord[],
): PeersState {
  const newer = pickBest(records, {
    getKey: ({ vm }) => vm,
    replaces: isNewerRecord,
  }).filter((record) =>
    record.vm !== state.own.vm &&
    isNewerRecord(record, state.records.get(record.vm))
  );
  // The address in the record of a known node is not added: the node may be
  // behind a relay, and that address unreachable.
  const knownVms = new Set([...state.known.values()].map(({ vm }) => vm));
  const own = raiseOwnIncarnation(state.own, records);
  return newer.length === 0 && own === state.own ? state : {
    ...state,
    own,
    records: new Map([
      ...state.records,
      ...newer.map((record) => [record.vm, record] as const),
    ]),
    remainingRecordSends: new Map([
      ...state.remainingRecordSends,
      ...newer.map((record) => [record.vm, sendsPerChange] as const),
    ]),
    known: upsertKnownPeers(
      state.known,
      newer
        .filter((record) =>
          !isOwnAddress(state, record) && !knownVms.has(record.vm)
        )
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

/**
 * Raises the incarnation of this node above that of any newer record of its VM.
 * Such a record comes from an earlier process whose clock was ahead, and peers
 * would otherwise ignore the record of this process.
 */
function raiseOwnIncarnation(
  own: PeerRecord,
  records: readonly PeerRecord[],
): PeerRecord {
  const newer = records.filter((record) =>
    record.vm === own.vm && isNewerRecord(record, own)
  );
  return newer.length === 0 ? own : {
    ...own,
    incarnation: Math.max(...newer.map(({ incarnation }) => incarnation)) + 1,
  };
}
