import type { DiagnosticCode } from "./diagnostic_code.ts";

/** One error or warning. `getDiagnosticMessage` returns its text. */
export interface Diagnostic {
  readonly code: DiagnosticCode;
  /** The field, header, file or address concerned. */
  readonly path: string;
  /** The value or failure found there. */
  readonly found: string;
  /** The allowed values; empty if the template does not use them. */
  readonly allowed: string;
}
