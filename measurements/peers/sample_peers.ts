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

/** Takes a node that starts through a list of `count` VMs, all of their records and one exchange. */
export function samplePeers(
  count: number,
  context: DistributionContext,
): PeerSample {
  const { now, random } = context;
  const list = createPeerList(count);
  const start = createPeerState(context);
  const firstList = measureElapsed(() =>
    applyListedVms(start.peers, list, { now })
  );
  const createRecords = (sequence: number) =>
    list.map((entry) =>
      createPeerRecord(entry, { incarnation: now, sequence })
    );
  const merged = mergeRecords(firstList.value, createRecords(1));
  const quiet = {
    ...start,
    peers: { ...merged, recordSends: new Map() },
  };
  const repeatedList = measureElapsed(() =>
    applyListedVms(quiet.peers, list, { now })
  );
  const create = measureElapsed(() => createExchangeMessage(quiet));
  const [sender] = createRecords(2);
  const news = {
    ...create.value.message,
    record: sender ?? quiet.peers.own,
    records: createRecords(2).slice(0, distributionLimits.recordsPerMessage),
  };
  const take = measureElapsed(() =>
    handleExchangeMessage(quiet, news, context)
  );
  const choose = measureElapsed(() =>
    choosePeers(quiet.peers, {
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
    take: take.milliseconds,
    choose: choose.milliseconds,
    firstList: firstList.milliseconds,
    repeatedList: repeatedList.milliseconds,
  };
}
