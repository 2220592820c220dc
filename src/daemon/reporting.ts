import type { NodeEnvironment } from "../runtime/node_environment.ts";
import type { RecentAuditTrail } from "../telemetry/recent_audit_trail.ts";

/** The environment of a node on the operating system's clock, and the trail that operators read. */
export interface Reporting {
  readonly environment: NodeEnvironment;
  readonly auditTrail: RecentAuditTrail;
}
