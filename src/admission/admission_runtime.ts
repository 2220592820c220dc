import type { Snapshot } from "../configuration/snapshot.ts";
import type { AdmissionDecision } from "./admission_decision.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { AdmissionStatus } from "./admission_status.ts";
import type { DispatchReport } from "./dispatch_report.ts";

/** Guards the backend server beside this node: limit, queue, cold start, drain and zone. */
export interface AdmissionRuntime {
  /** Starts probing the backend server's health and load endpoints. */
  start(): void;
  /** Asks for a slot; `decide` is called exactly once, at once or later. */
  request(
    request: AdmissionRequest,
    decide: (decision: AdmissionDecision) => void,
  ): void;
  /** Takes a queued request back, because its caller left; `decide` is then not called any more. */
  withdraw(callIdentifier: string): void;
  /** Reports the end of an admitted call. Every admitted call must be reported once. */
  report(report: DispatchReport): void;
  /** Takes over the zone state, slots and leaving mark of a new snapshot. */
  applySnapshot(snapshot: Snapshot): void;
  /** Refuses new requests and the queue; resolves when no admitted call is left. */
  drain(): Promise<void>;
  /** Ends probing. */
  stop(): void;
  getStatus(): AdmissionStatus;
}
