import type { Snapshot } from "../configuration/snapshot.ts";
import type { AuditEntry } from "../telemetry/audit_entry.ts";
import type { DistributionResponse } from "./distribution_response.ts";
import type { DistributionEffectKind } from "./distribution_effect_kind.ts";
import type { PeerCall } from "./peer_call.ts";

/**
 * An action that the runtime executes for the distribution. Deadlines are in
 * milliseconds since the Unix epoch.
 */
export type DistributionEffect =
  | {
    readonly kind: DistributionEffectKind.CallPeer;
    readonly call: PeerCall;
    readonly deadline: number;
    /** Whether to open a new connection for this call alone. */
    readonly freshConnection: boolean;
  }
  | {
    readonly kind: DistributionEffectKind.Reply;
    readonly requestIdentifier: number;
    /** The response to the request. */
    readonly answer: DistributionResponse;
  }
  | {
    readonly kind: DistributionEffectKind.ReadPlatform;
    readonly deadline: number;
    /**
     * Whether the read confirms the view after a pause; a watch may be open at
     * the same time.
     */
    readonly forConfirmation: boolean;
  }
  | {
    readonly kind: DistributionEffectKind.WatchPlatform;
    readonly revision: number;
    readonly deadline: number;
  }
  | {
    readonly kind: DistributionEffectKind.ListVms;
    readonly deadline: number;
  }
  | {
    readonly kind: DistributionEffectKind.PrepareSnapshot;
    readonly snapshot: Snapshot;
  }
  | {
    readonly kind: DistributionEffectKind.ApplySnapshot;
    readonly snapshot: Snapshot;
  }
  | { readonly kind: DistributionEffectKind.ConfirmView }
  | {
    readonly kind: DistributionEffectKind.RecordAudit;
    readonly entry: Omit<AuditEntry, "at" | "vm">;
  }
  | {
    readonly kind: DistributionEffectKind.LogWarning;
    readonly fields: object;
    readonly message: string;
  };
