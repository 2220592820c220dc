import type { DiagnosticCode } from "./diagnostic_code.ts";

/** One typed failure. Its text comes from `getDiagnosticMessage`. */
export interface Diagnostic {
  readonly code: DiagnosticCode;
  /** The field, header, file or address concerned. */
  readonly path: string;
  /** What was found there. */
  readonly found: string;
  /** What is allowed there; empty where the template does not use it. */
  readonly allowed: string;
}
