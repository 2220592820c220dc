import type { AdmissionContext } from "./admission_context.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import type { RunningCall } from "./running_call.ts";

/** The end of an admitted call, with what the controllers learn from. */
export interface CallOutcome {
  readonly report: DispatchReport;
  readonly call: RunningCall;
  readonly context: AdmissionContext;
}
