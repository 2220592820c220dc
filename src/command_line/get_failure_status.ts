import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { ExitStatus } from "./exit_status.ts";

/** Returns the exit status of a command that failed with `diagnostic`. */
export function getFailureStatus(diagnostic: Diagnostic): ExitStatus {
  return diagnostic.code === DiagnosticCode.UsageInvalid
    ? ExitStatus.Usage
    : ExitStatus.Failure;
}
