import type { Diagnostic } from "./diagnostic.ts";
import { formatDiagnostic } from "./format_diagnostic.ts";

/** An error that carries a diagnostic through interfaces that report failures as exceptions, such as a JSON-RPC method. */
export class DiagnosticError extends Error {
  readonly diagnostic: Diagnostic;

  /** Creates an error whose message is the formatted diagnostic. */
  constructor(diagnostic: Diagnostic) {
    super(formatDiagnostic(diagnostic));
    this.name = "DiagnosticError";
    this.diagnostic = diagnostic;
  }
}
