import type { BackendServerProber } from "../../health/backend_server_prober.ts";
import type { DispatchResult } from "../dispatch_result.ts";
import type { FakeBackendServerCounts } from "./fake_backend_server_counts.ts";

/**
 * A simulated backend server in virtual time, with slots, cold start, load
 * shedding, crashes and slow cancellation.
 */
export interface FakeBackendServer {
  readonly prober: BackendServerProber;
  /** Dispatches a call. `finish` is called once, unless the call is cancelled before. */
  dispatch(
    callIdentifier: string,
    finish: (result: DispatchResult) => void,
  ): void;
  /** Cancels a dispatched call. It occupies its slot for a further `letGoMilliseconds`. */
  cancel(callIdentifier: string): void;
  /** Returns to cold start without notifying the node. */
  returnToColdStart(): void;
  /** Changes the capacity of the warm server without notifying the node. */
  setSlots(slots: number): void;
  /** Returns a copy of the counters. */
  getCounts(): FakeBackendServerCounts;
}
