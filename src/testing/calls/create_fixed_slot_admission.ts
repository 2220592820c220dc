import { AdmissionDecisionKind } from "../../admission/admission_decision_kind.ts";
import type { AdmissionRuntime } from "../../admission/admission_runtime.ts";
import type { DispatchReport } from "../../admission/dispatch_report.ts";
import { RefusalReason } from "../../calls/refusal_reason.ts";
import { BackendServerState } from "../../health/backend_server_state.ts";

/** Creates an admission with a fixed number of slots and no queue; `reports` contains the report on each ended call, in order. */
export function createFixedSlotAdmission(slots: number): AdmissionRuntime & {
  readonly reports: DispatchReport[];
  readonly getRunning: () => number;
} {
  const runningCalls = new Set<string>();
  const reports: DispatchReport[] = [];
  return {
    reports,
    getRunning: () => runningCalls.size,
    start: () => undefined,
    request: (request, decide) => {
      if (runningCalls.size >= slots) {
        decide({
          kind: AdmissionDecisionKind.Refused,
          reason: RefusalReason.Full,
          retryAt: request.deadline,
        });
        return;
      }
      runningCalls.add(request.callIdentifier);
      decide({ kind: AdmissionDecisionKind.Admitted });
    },
    withdraw: () => undefined,
    report: (report) => {
      reports.push(report);
      runningCalls.delete(report.callIdentifier);
    },
    applySnapshot: () => undefined,
    drain: () => Promise.resolve(),
    stop: () => undefined,
    getStatus: () => ({
      backendServerState: BackendServerState.Ready,
      limit: slots,
      running: runningCalls.size,
      queued: 0,
      freeSlots: slots - runningCalls.size,
    }),
  };
}
