import { Buffer } from "node:buffer";
import { createExchangeMessage } from "../../src/distribution/create_exchange_message.ts";
import type { DistributionContext } from "../../src/distribution/distribution_context.ts";
import { distributionLimits } from "../../src/distribution/distribution_limits.ts";
import { handleExchangeMessage } from "../../src/distribution/handle_exchange_message.ts";
import { choosePeers } from "../../src/peers/choose_peers.ts";
import { mergeRecords } from "../../src/peers/merge_records.ts";
import { applyListedVms } from "../../src/peers/apply_listed_vms.ts";
import { measureElapsed } from "../measure_elapsed.ts";
import { createPeerList } from "./create_peer_list.ts";
import { createPeerRecord } from "./create_peer_record.ts";
import { createPeerState } from "./create_peer_state.ts";
import type { PeerSample } from "./peer_sample.ts";

/** Times the operations of a node that applies a list of `count` VMs, merges their records and performs one exchange. */
export function samplePeers(
  count: number,
  context: DistributionContext,
): PeerSample {
  const { now, random } = context;
  const list = createPeerList(count);
  const initialState = createPeerState(context);
  const firstList = measureElapsed(() =>
    applyListedVms(initialState.peers, list, { now })
  );
  const createRecords = (sequence: number) =>
    list.map((entry) =>
      createPeerRecord(entry, { incarnation: now, sequence })
    );
  const merged = mergeRecords(firstList.value, createRecords(1));
  const settledState = {
    ...initialState,
    peers: { ...merged, remainingRecordSends: new Map() },
  };
  const repeatedList = measureElapsed(() =>
    applyListedVms(settledState.peers, list, { now })
  );
  const create = measureElapsed(() => createExchangeMessage(settledState));
  const [sender] = createRecords(2);
  const updateMessage = {
    ...create.value.message,
    record: sender ?? settledState.peers.own,
    records: createRecords(2).slice(0, distributionLimits.recordsPerMessage),
  };
  const apply = measureElapsed(() =>
    handleExchangeMessage(settledState, updateMessage, context)
  );
  const choose = measureElapsed(() =>
    choosePeers(settledState.peers, {
      ownZone: distributionLimits.pushOwnZonePeers,
      otherZones: distributionLimits.pushOtherZonePeers,
      now,
      random,
    })
  );
  return {
    peers: count,
    messageBytes: Buffer.byteLength(JSON.stringify(create.value.message)),
    create: create.milliseconds,
    take: apply.milliseconds,
    choose: choose.milliseconds,
    firstList: firstList.milliseconds,
    repeatedList: repeatedList.milliseconds,
  };
}
