import type { Version } from "../configuration/version.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import { createSystemTimers } from "../runtime/create_system_timers.ts";
import { systemClock } from "../runtime/system_clock.ts";
import { systemRandomSource } from "../runtime/system_random_source.ts";
import { createAuditTrail } from "../telemetry/create_audit_trail.ts";
import { createLog } from "../telemetry/create_log.ts";
import type { NodeSettings } from "./node_settings.ts";
import type { SystemEnvironment } from "./system_environment.ts";

/** Creates the environment of a node on the system clock; every audit entry is also logged. */
export function createSystemEnvironment(
  settings: NodeSettings,
  getVersion: () => Version | undefined,
): SystemEnvironment {
  const log = createLog(settings, getVersion);
  const auditTrail = createAuditTrail({
    vm: settings.vm,
    clock: systemClock,
    write: (entry) =>
      log.info(
        { audit: entry, reasons: entry.reasons.map(formatDiagnostic) },
        `Audit: ${entry.kind}`,
      ),
  });
  return {
    auditTrail,
    environment: {
      clock: systemClock,
      timers: createSystemTimers(systemClock),
      random: systemRandomSource,
      auditTrail,
      log,
    },
  };
}
