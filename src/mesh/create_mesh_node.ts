import { createAddressHolder } from "../address_holder/create_address_holder.ts";
import { createGateState } from "../gate/create_gate_state.ts";
import { createOfferRecords } from "../offers/create_offer_records.ts";
import { createQuarantineState } from "../quarantine/create_quarantine_state.ts";
import { systemClock } from "../runtime/system_clock.ts";
import { createSourceFeed } from "../source/create_source_feed.ts";
import { createConnectionAgent } from "./create_connection_agent.ts";
import { createMeshMetrics } from "./create_mesh_metrics.ts";
import { createMeshView } from "./create_mesh_view.ts";
import { createQuotaState } from "./create_quota_state.ts";
import { createSentCalls } from "./create_sent_calls.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { MeshReporter } from "./mesh_reporter.ts";
import type { MeshSettings } from "./mesh_settings.ts";

/**
 * Shorter than the idle timeout of common backend servers, so that this side
 * closes first.
 */
const backendIdleMilliseconds = 4_000;
/**
 * Backend servers may drop idle connections without notice, and after a reset
 * it is unknown whether the request ran.
 */
const recentIdleMilliseconds = 500;
/** Shorter than the idle timeout of the listeners of other nodes. */
const nodeIdleMilliseconds = 20_000;

/** Creates the state of a node that has received no configuration yet. */
export function createMeshNode(
  settings: MeshSettings,
  options:
    & Pick<MeshNode, "dialect" | "clock" | "timers" | "random" | "report">
    & Partial<Pick<MeshNode, "timeOfDay">>,
): MeshNode {
  const { dialect, clock, timers, random, timeOfDay = systemClock } = options;
  const metrics = createMeshMetrics();
  const report: MeshReporter = {
    ...options.report,
    call: (event) => {
      metrics.observe(event);
      options.report.call(event);
    },
  };
  const quarantine = createQuarantineState();
  return {
    settings,
    dialect,
    clock,
    timeOfDay,
    timers,
    random,
    report,
    metrics,
    view: createMeshView(),
    rulesConfirmation: {
      readStartedAt: undefined,
      confirmedAt: undefined,
      heldUntil: Number.NEGATIVE_INFINITY,
      isStaleReported: false,
    },
    loopLag: { checkedAt: clock.now(), behindUntil: 0 },
    knownConnections: new WeakSet(),
    callerPipelines: new WeakMap(),
    feed: createSourceFeed(),
    quarantine,
    gate: createGateState(clock.now(), quarantine.suspects),
    slotWaiters: new Map(),
    gateTimer: undefined,
    addressHolder: createAddressHolder(),
    serverProbe: {
      unconfirmedAnswer: undefined,
      probedAt: 0,
      nextProbeAt: 0,
      probing: false,
    },
    serverCrash: { check: undefined, recordedAt: Number.NEGATIVE_INFINITY },
    backendAgent: createConnectionAgent(backendIdleMilliseconds),
    probeAgent: createConnectionAgent(backendIdleMilliseconds),
    recentBackendAgent: createConnectionAgent(recentIdleMilliseconds),
    sentCalls: createSentCalls(),
    nodesAgent: createConnectionAgent(nodeIdleMilliseconds),
    offerConnections: { open: new Map(), nextAttemptAt: new Map() },
    servedConnections: new Set(),
    startedAt: clock.now(),
    offers: createOfferRecords(),
    gateViews: new Map(),
    quotas: createQuotaState(clock),
    serviceLoads: new Map(),
    serviceCandidates: new Map(),
    departures: new Map(),
    capacities: new Map(),
    splitStates: new Map(),
    retryCounts: new Map(),
    answerBytes: new Map(),
    longestRemainingMilliseconds: new Map(),
    callerCalls: new Set(),
    outgoingOffers: new Map(),
    isLearningWithdrawals: false,
    stopping: false,
    refusesCallersAt: Number.POSITIVE_INFINITY,
    offersEndAt: Number.POSITIVE_INFINITY,
    gateClosesAt: Number.POSITIVE_INFINITY,
  };
}
