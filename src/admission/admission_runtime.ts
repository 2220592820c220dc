import type { Snapshot } from "../configuration/snapshot.ts";
import type { AdmissionDecision } from "./admission_decision.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { AdmissionStatus } from "./admission_status.ts";
import type { DispatchReport } from "./dispatch_report.ts";

/**
 * Admits calls to the backend server beside this node, subject to its limit,
 * queue, cold start, drain and zone state.
 */
export interface AdmissionRuntime {
  /** Starts to probe the backend server's health and load endpoints. */
  start(): void;
  /** Requests a slot. Calls `decide` exactly once, synchronously or later. */
  request(
    request: AdmissionRequest,
    decide: (decision: AdmissionDecision) => void,
  ): void;
  /** Removes a queued request whose caller left. `decide` is not called afterwards. */
  withdraw(callIdentifier: string): void;
  /** Reports the end of an admitted call. Every admitted call must be reported exactly once. */
  report(report: DispatchReport): void;
  /** Applies the zone state, slots and `leaving` flag of a new snapshot. */
  applySnapshot(snapshot: Snapshot): void;
  /** Refuses all queued and new requests. Resolves when every admitted call has been reported. */
  drain(): Promise<void>;
  /** Stops probing and refuses all queued requests. */
  stop(): void;
  /** Returns the current state and load of the backend server. */
  getStatus(): AdmissionStatus;
}
