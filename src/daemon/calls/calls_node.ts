import type { Pool } from "undici";
import type { BackendServerView } from "../../calls/backend_server_view.ts";
import type { CallsRuntimeOptions } from "../../calls/calls_runtime_options.ts";
import type { ChoicePolicy } from "../../calls/choice_policy.ts";
import type { ExpiringMap } from "../../calls/expiring_map.ts";
import type { RetryBudget } from "../../calls/retry_budget.ts";
import type { Settlement } from "../../calls/settlement.ts";
import type { Snapshot } from "../../configuration/snapshot.ts";
import type { CallCounters } from "./call_counters.ts";
import type { CallLedger } from "./call_ledger.ts";
import type { CallPools } from "./call_pools.ts";
import type { DispatchControl } from "./dispatch_control.ts";

/** The state and dependencies shared by all calls of one node. */
export interface CallsNode {
  readonly options: CallsRuntimeOptions;
  readonly choicePolicy: ChoicePolicy;
  readonly pools: CallPools;
  /** Connections to the backend server beside this node; undefined if there is none. */
  readonly backendPool: Pool | undefined;
  /** By name of the backend server. */
  readonly views: Map<string, BackendServerView>;
  /** Outcomes and fences of attempts that are not idempotent, by attempt identifier. */
  readonly records: ExpiringMap<Settlement>;
  readonly ledger: CallLedger;
  /** Attempts in progress on this node, by attempt identifier. */
  readonly dispatches: Map<string, DispatchControl>;
  /** Calls from callers in progress; each entry aborts its call. */
  readonly callerCalls: Set<() => void>;
  /** Requests whose body is incomplete; each entry refuses its request. */
  readonly pendingUploads: Set<() => void>;
  readonly counters: CallCounters;
  snapshot: Snapshot | undefined;
  confirmingView: boolean;
  draining: boolean;
  budget: RetryBudget;
  /** Called whenever a call or an attempt ends. */
  onEnded: () => void;
  /** Returns an identifier that is unique among the calls of all nodes. */
  createCallIdentifier(): string;
}
