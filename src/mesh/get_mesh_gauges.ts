import { getQuarantineEnd } from "../quarantine/get_quarantine_end.ts";
import { getStatedCallsPerSecond } from "../gate/get_stated_calls_per_second.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import { getGateLoad } from "./get_gate_load.ts";
import { getStatedRulesAgeMilliseconds } from "./get_stated_rules_age_milliseconds.ts";
import { getSourceAvailableMilliseconds } from "./get_source_available_milliseconds.ts";
import type { MeshGauges } from "./mesh_gauges.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the current values of a node's gauges. */
export function getMeshGauges(node: MeshNode): MeshGauges {
  const { gate, view } = node;
  const { running, queued, slots, cold } = getGateLoad(node);
  return {
    rulesVersion: view.rules?.version ?? 0,
    sourceEra: view.sourceEra ?? 0,
    sourceSoundMilliseconds: getSourceAvailableMilliseconds(node),
    rulesAgeMilliseconds: Math.round(getStatedRulesAgeMilliseconds(node) ?? -1),
    organisations: view.rules?.organisations.size ?? 0,
    feedFollowers: node.feed.subscribers.size,
    offerConnections: node.offerConnections.open.size,
    servedOfferConnections: node.servedConnections.size,
    registeredServers: view.register.size,
    zonesTakenOut: view.zonesTakenOut.size,
    running,
    queued,
    slots,
    cold,
    callsPerSecondLimit: getStatedCallsPerSecond(gate.statedLimit) ?? -1,
    leaving: gate.departure !== undefined,
    open: gate.closedReason === undefined &&
      gate.condition !== ServerCondition.Down,
    callerCalls: node.callerCalls.size,
    quotasOwned: Array.from(node.quotas.granters.values())
      .filter(({ establishedAt }) => establishedAt <= node.clock.now()).length,
    quotaOwnersUnreachable: Array.from(node.quotas.holders.values())
      .filter(({ isOwnerUnreachable }) => isOwnerUnreachable).length,
    quarantinedRequests: Array.from(node.quarantine.suspects.values())
      .filter((suspect) => getQuarantineEnd(suspect) > node.clock.now()).length,
    stopping: node.stopping,
  };
}
