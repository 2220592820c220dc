import type { Version } from "../configuration/version.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { ControlFailure } from "../peers/control_failure.ts";
import type { OwnState } from "../peers/own_state.ts";
import type { PlatformValue } from "../platform/platform_value.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { DistributionEventKind } from "./distribution_event_kind.ts";
import type { DistributionRequest } from "./distribution_request.ts";
import type { PeerCall } from "./peer_call.ts";

/** An event that the distribution handles. */
export type DistributionEvent =
  | { readonly kind: DistributionEventKind.Started }
  | { readonly kind: DistributionEventKind.DeadlineReached }
  | {
    readonly kind: DistributionEventKind.OwnStateChanged;
    readonly ownState: OwnState;
  }
  | {
    readonly kind: DistributionEventKind.RequestReceived;
    readonly requestIdentifier: number;
    readonly request: DistributionRequest;
  }
  | {
    readonly kind: DistributionEventKind.PeerResponseReceived;
    readonly call: PeerCall;
    /** The response as received, not validated. */
    readonly answer: unknown;
  }
  | {
    readonly kind: DistributionEventKind.PeerCallFailed;
    readonly call: PeerCall;
    readonly failure: ControlFailure;
  }
  | {
    readonly kind: DistributionEventKind.PlatformResponseReceived;
    /**
     * Undefined if nothing is published, or if nothing changed during the
     * watch.
     */
    readonly value: PlatformValue | undefined;
    /** Whether the read confirms the view after a pause. */
    readonly forConfirmation: boolean;
  }
  | {
    readonly kind: DistributionEventKind.PlatformFailed;
    readonly reason: Diagnostic;
    readonly forConfirmation: boolean;
  }
  | {
    readonly kind: DistributionEventKind.VmsListed;
    readonly vms: readonly VmEntry[];
  }
  | {
    readonly kind: DistributionEventKind.VmListFailed;
    readonly reason: Diagnostic;
  }
  | {
    readonly kind: DistributionEventKind.SnapshotPrepared;
    readonly version: Version;
  }
  | { readonly kind: DistributionEventKind.ViewConfirmationRequested }
  | { readonly kind: DistributionEventKind.StopRequested };
