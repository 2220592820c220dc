import type { Diagnostic } from "./diagnostic.ts";
import { diagnosticTable } from "./diagnostic_table.ts";

/** Returns the text of a diagnostic, in sentence case, without its number. */
export function getDiagnosticMessage(diagnostic: Diagnostic): string {
  return diagnosticTable[diagnostic.code].template
    .replaceAll("{path}", () => diagnostic.path)
    .replaceAll("{found}", () => diagnostic.found)
    .replaceAll("{allowed}", () => diagnostic.allowed);
}
