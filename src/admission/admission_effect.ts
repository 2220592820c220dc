import type { AuditEntry } from "../telemetry/audit_entry.ts";
import type { AdmissionDecision } from "./admission_decision.ts";
import type { AdmissionEffectKind } from "./admission_effect_kind.ts";

/** An action that an admission step requests from the runtime. */
export type AdmissionEffect =
  | {
    readonly kind: AdmissionEffectKind.Decide;
    readonly callIdentifier: string;
    readonly decision: AdmissionDecision;
  }
  | {
    readonly kind: AdmissionEffectKind.Probe;
    /** The instant at which the probe times out, in milliseconds since the Unix epoch. */
    readonly deadline: number;
  }
  | {
    readonly kind: AdmissionEffectKind.RecordAuditEntry;
    readonly entry: Omit<AuditEntry, "at" | "vm">;
  };
