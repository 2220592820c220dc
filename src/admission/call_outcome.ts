import type { AdmissionContext } from "./admission_context.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import type { RunningCall } from "./running_call.ts";

/** The report of an admitted call together with the data that the limit controllers evaluate. */
export interface CallOutcome {
  readonly report: DispatchReport;
  readonly call: RunningCall;
  readonly context: AdmissionContext;
}
