import type { Agent } from "node:http";
import type { GateView } from "../balancing/gate_view.ts";
import type { GateState } from "../gate/gate_state.ts";
import type { RetryCounts } from "../retries/retry_counts.ts";
import type { SplitState } from "../routing/split_state.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import type { SourceFeed } from "../source/source_feed.ts";
import type { Clock } from "../runtime/clock.ts";
import type { LoopLag } from "../runtime/loop_lag.ts";
import type { Timers } from "../runtime/timers.ts";
import type { CallDialect } from "./call_dialect.ts";
import type { MeshMetrics } from "./mesh_metrics.ts";
import type { MeshReport } from "./mesh_report.ts";
import type { MeshSettings } from "./mesh_settings.ts";
import type { MeshView } from "./mesh_view.ts";
import type { ServerProbeState } from "./server_probe_state.ts";
import type { SlotWaiter } from "./slot_waiter.ts";
import type { TimerHandle } from "../runtime/timer_handle.ts";

/** The state of one running node. */
export interface MeshNode {
  settings: MeshSettings;
  readonly dialect: CallDialect;
  readonly clock: Clock;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly report: MeshReport;
  readonly metrics: MeshMetrics;
  readonly view: MeshView;
  /** How far the event loop is behind. */
  readonly loopLag: LoopLag;
  /** What neighbours may follow. */
  readonly feed: SourceFeed;
  readonly gate: GateState;
  /** Calls that wait for a slot, by call identifier. */
  readonly slotWaiters: Map<string, SlotWaiter>;
  /** Looks at the gate's queue again. */
  gateTimer: TimerHandle | undefined;
  readonly serverProbe: ServerProbeState;
  /** Connections to the backend server of this VM. */
  readonly backendAgent: Agent;
  /** Connections to it that were used a moment ago, for requests that must not be lost on one that it has forgotten. */
  readonly recentBackendAgent: Agent;
  /** Connections to other nodes. */
  readonly nodesAgent: Agent;
  /** By identifier of the backend server. */
  readonly gateViews: Map<string, GateView>;
  /** By route. */
  readonly splitStates: Map<string, SplitState>;
  /** By service. */
  readonly retryCounts: Map<string, RetryCounts>;
  /** Moving average of answers in bytes, by route. */
  readonly answerBytes: Map<string, number>;
  /** The longest time that a caller of a route said it waits, in milliseconds, by route. */
  readonly longestRemainingMilliseconds: Map<string, number>;
  /** Calls of callers that have no answer yet. */
  callerCalls: number;
  stopping: boolean;
  /** When a stopping node takes no more calls of callers, in milliseconds since the Unix epoch; infinity before a stop. */
  callersRefusedAt: number;
  /** When a stopping node closes its gate, in milliseconds since the Unix epoch; infinity before a stop. */
  gateClosesAt: number;
}
