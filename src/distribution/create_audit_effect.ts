import type { AuditEntry } from "../telemetry/audit_entry.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";

/** Returns the effect that adds an entry to the audit trail. */
export function createAuditEffect(
  entry: Omit<AuditEntry, "at" | "vm">,
): DistributionEffect {
  return { kind: DistributionEffectKind.RecordAudit, entry };
}
