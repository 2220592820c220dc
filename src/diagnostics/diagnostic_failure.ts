import type { Diagnostic } from "./diagnostic.ts";
import { formatDiagnostic } from "./format_diagnostic.ts";

/** Carries a diagnostic through an interface that only knows rejections, such as a JSON-RPC method. */
export class DiagnosticFailure extends Error {
  readonly diagnostic: Diagnostic;

  /** Wraps `diagnostic`; the message is its text. */
  constructor(diagnostic: Diagnostic) {
    super(formatDiagnostic(diagnostic));
    this.name = "DiagnosticFailure";
    this.diagnostic = diagnostic;
  }
}
