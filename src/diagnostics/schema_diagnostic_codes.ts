import type { DiagnosticCode } from "./diagnostic_code.ts";

/** The diagnostics that a schema's issues become. */
export interface SchemaDiagnosticCodes {
  readonly fieldInvalid: DiagnosticCode;
  readonly fieldUnknown: DiagnosticCode;
}
