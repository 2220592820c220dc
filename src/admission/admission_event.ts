import type { Snapshot } from "../configuration/snapshot.ts";
import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import type { AdmissionEventKind } from "./admission_event_kind.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { DispatchReport } from "./dispatch_report.ts";

/** An event that the admission handles. */
export type AdmissionEvent =
  | { readonly kind: AdmissionEventKind.Started }
  | {
    readonly kind: AdmissionEventKind.Requested;
    readonly request: AdmissionRequest;
  }
  | {
    readonly kind:
      | AdmissionEventKind.Withdrawn
      | AdmissionEventKind.Unclaimed;
    readonly callIdentifier: string;
  }
  | {
    readonly kind: AdmissionEventKind.Reported;
    readonly report: DispatchReport;
  }
  | {
    readonly kind: AdmissionEventKind.SnapshotApplied;
    readonly snapshot: Snapshot;
  }
  | {
    readonly kind: AdmissionEventKind.ProbeSucceeded;
    readonly probe: BackendServerProbe;
  }
  | { readonly kind: AdmissionEventKind.ProbeFailed }
  | { readonly kind: AdmissionEventKind.DrainRequested }
  | { readonly kind: AdmissionEventKind.InstantReached };
