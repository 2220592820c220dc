import type { Diagnostic } from "./diagnostic.ts";
import type { DiagnosticCode } from "./diagnostic_code.ts";

/** Creates a diagnostic; details that its template does not use may be omitted. */
export function createDiagnostic(
  code: DiagnosticCode,
  details: Partial<Omit<Diagnostic, "code">>,
): Diagnostic {
  return {
    code,
    path: details.path ?? "",
    found: details.found ?? "",
    allowed: details.allowed ?? "",
  };
}
