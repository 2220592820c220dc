import type { AuditTrail } from "../telemetry/audit_trail.ts";
import type { Log } from "../telemetry/log.ts";
import type { Clock } from "./clock.ts";
import type { RandomSource } from "./random_source.ts";
import type { Timers } from "./timers.ts";

/** The external dependencies of a node: time, random numbers, the audit trail and the log. */
export interface NodeEnvironment {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly auditTrail: AuditTrail;
  readonly log: Log;
}
