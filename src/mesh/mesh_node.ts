import type { Agent } from "node:http";
import type { Socket } from "node:net";
import type { AddressHolder } from "../address_holder/address_holder.ts";
import type { GateView } from "../balancing/gate_view.ts";
import type { ServiceLoad } from "../balancing/service_load.ts";
import type { ExpiringMap } from "../calls/expiring_map.ts";
import type { ServiceCapacity } from "../capacity/service_capacity.ts";
import type { GateState } from "../gate/gate_state.ts";
import type { RulesConfirmation } from "../organisations/rules_confirmation.ts";
import type { OfferRecords } from "../offers/offer_records.ts";
import type { Pipeline } from "../pipelines/pipeline.ts";
import type { QuarantineState } from "../quarantine/quarantine_state.ts";
import type { Departures } from "../register/departures.ts";
import type { RetryCounts } from "../retries/retry_counts.ts";
import type { SplitState } from "../routing/split_state.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LoopLag } from "../runtime/loop_lag.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";
import type { Timers } from "../runtime/timers.ts";
import type { SourceFeed } from "../source/source_feed.ts";
import type { CallDialect } from "./call_dialect.ts";
import type { CandidatesCacheEntry } from "./candidates_cache_entry.ts";
import type { MeshMetrics } from "./mesh_metrics.ts";
import type { MeshReporter } from "./mesh_reporter.ts";
import type { MeshSettings } from "./mesh_settings.ts";
import type { MeshView } from "./mesh_view.ts";
import type { QuotaState } from "./quota_state.ts";
import type { OfferConnections } from "./offer_connections.ts";
import type { ServedConnection } from "./served_connection.ts";
import type { ServerCrashState } from "./server_crash_state.ts";
import type { ServerProbeState } from "./server_probe_state.ts";
import type { SlotWaiter } from "./slot_waiter.ts";

/** The state of one running node. */
export interface MeshNode {
  settings: MeshSettings;
  readonly dialect: CallDialect;
  readonly clock: Clock;
  /** The system's clock, which counts a suspension of the VM and may be set back. */
  readonly timeOfDay: Clock;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly report: MeshReporter;
  readonly metrics: MeshMetrics;
  readonly view: MeshView;
  /** Since when the rules of the view may be out of date. */
  readonly rulesConfirmation: RulesConfirmation;
  /** How far the event loop is behind. */
  readonly loopLag: LoopLag;
  /** Connections of callers and other nodes that have carried a request. */
  readonly knownConnections: WeakSet<Socket>;
  /** The requests of each caller's connection. */
  readonly callerPipelines: WeakMap<Socket, Pipeline>;
  /** The feed that neighbours may follow. */
  readonly feed: SourceFeed;
  readonly gate: GateState;
  /** Calls that wait for a slot, by offer identifier. */
  readonly slotWaiters: Map<string, SlotWaiter>;
  /** Triggers the next processing of the gate's queue. */
  gateTimer: TimerHandle | undefined;
  /** What is known of the backend server at the address of this VM's one. */
  readonly addressHolder: AddressHolder;
  readonly serverProbe: ServerProbeState;
  readonly serverCrash: ServerCrashState;
  /** Connections to the backend server of this VM. */
  readonly backendAgent: Agent;
  /**
   * Recently used connections to the backend server of this VM, for requests
   * that must not be sent on a connection that it has dropped.
   */
  readonly recentBackendAgent: Agent;
  /**
   * Connections for probes of the backend server of this VM. The answer to a
   * probe names no call, so a second copy of it must not meet a call.
   */
  readonly probeAgent: Agent;
  /** Calls that were sent to the backend server of this VM and may have a further attempt. */
  readonly sentCalls: ExpiringMap<true>;
  /** Connections to other nodes. */
  readonly nodesAgent: Agent;
  /** Connections to other nodes that carry many offers at a time. */
  readonly offerConnections: OfferConnections;
  /** Such connections of other nodes to this one. */
  readonly servedConnections: Set<ServedConnection>;
  readonly quarantine: QuarantineState;
  /** Since when this process records offers, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  /** Calls that other nodes offered to this one. */
  readonly offers: OfferRecords;
  /** By identifier of the backend server. */
  readonly gateViews: Map<string, GateView>;
  readonly quotas: QuotaState;
  /** By service. */
  readonly serviceLoads: Map<string, ServiceLoad>;
  /** By service. */
  readonly serviceCandidates: Map<string, CandidatesCacheEntry>;
  readonly departures: Departures;
  /** What is known of the room at services, by service. */
  readonly capacities: Map<string, ServiceCapacity>;
  /** By route. */
  readonly splitStates: Map<string, SplitState>;
  /** By service. */
  readonly retryCounts: Map<string, RetryCounts>;
  /** Moving average of answer sizes in bytes, by route. */
  readonly answerBytes: Map<string, number>;
  /**
   * The longest remaining time that a caller of a route has sent, in
   * milliseconds, by route.
   */
  readonly longestRemainingMilliseconds: Map<string, number>;
  /** Cancellations of the callers' calls that have no response yet. */
  readonly callerCalls: Set<AbortController>;
  /** Hosts of the offers to other nodes that have no outcome yet, by offer identifier. */
  readonly outgoingOffers: Map<string, string>;
  /** Whether this node waits for what its neighbours know as withdrawn. */
  isLearningWithdrawals: boolean;
  stopping: boolean;
  /**
   * When a stopping node begins to refuse callers' calls, in milliseconds since
   * the Unix epoch; infinity before a stop.
   */
  refusesCallersAt: number;
  /**
   * When a stopping node ends the waits of its calls and makes no further offer,
   * in milliseconds since the Unix epoch; infinity before a stop.
   */
  offersEndAt: number;
  /**
   * When a stopping node closes its gate, in milliseconds since the Unix epoch;
   * infinity before a stop.
   */
  gateClosesAt: number;
}
