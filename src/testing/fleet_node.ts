import type { Snapshot } from "../configuration/snapshot.ts";
import type { DistributionRuntime } from "../distribution/distribution_runtime.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { AuditEntry } from "../telemetry/audit_entry.ts";

/** One node of a `DistributionFleet`; it runs only the distribution. */
export interface FleetNode {
  readonly vm: string;
  readonly zone: string;
  readonly address: NetworkAddress;
  readonly runtime: DistributionRuntime;
  /** Every snapshot put in force, in order. */
  readonly applied: readonly Snapshot[];
  /** Entries of its audit trail, in order. */
  readonly audit: readonly Omit<AuditEntry, "at" | "vm">[];
}
