import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { RecentAuditTrail } from "../telemetry/recent_audit_trail.ts";

/** The environment of a node on the system clock, and the audit trail that operators read. */
export interface SystemEnvironment {
  readonly environment: NodeEnvironment;
  readonly auditTrail: RecentAuditTrail;
}
