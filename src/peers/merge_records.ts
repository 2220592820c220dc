import { pickBest } from "../collections/pick_best.ts";
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
  const newer = pickBest(records, {
    getKey: ({ vm }) => vm,
    replaces: isNewerRecord,
  }).filter((record) =>
    record.vm !== state.own.vm &&
    isNewerRecord(record, state.records.get(record.vm))
  );
  // A node that is known may be behind a relay, and what it calls its address out of reach.
  const knownVms = new Set([...state.known.values()].map(({ vm }) => vm));
  const own = outrankOwnRecords(state.own, records);
  return newer.length === 0 && own === state.own ? state : {
    ...state,
    own,
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
 * A record of this VM that is newer than the node's own comes from a former
 * process whose clock ran ahead. The own one has to outrank it, or no peer
 * would take it.
 */
function outrankOwnRecords(
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
