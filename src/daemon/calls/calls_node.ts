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

/** What the calls of one node share. */
export interface CallsNode {
  readonly options: CallsRuntimeOptions;
  readonly choicePolicy: ChoicePolicy;
  readonly pools: CallPools;
  /** To the backend server beside this node; undefined where there is none. */
  readonly backendPool: Pool | undefined;
  readonly views: Map<string, BackendServerView>;
  /** Outcomes and fences of tries that are not idempotent, by attempt identifier. */
  readonly records: ExpiringMap<Settlement>;
  readonly ledger: CallLedger;
  /** Tries under way here, by attempt identifier. */
  readonly dispatches: Map<string, DispatchControl>;
  /** Calls from callers under way; each entry cuts its call. */
  readonly callerCalls: Set<() => void>;
  /** Requests that are not whole yet; each entry refuses its request. */
  readonly uploads: Set<() => void>;
  readonly counters: CallCounters;
  snapshot: Snapshot | undefined;
  confirmingView: boolean;
  draining: boolean;
  budget: RetryBudget;
  /** Is called whenever a call or a try ends. */
  onEnded: () => void;
  /** Returns an identifier that no other call of any node has. */
  createCallIdentifier(): string;
}
