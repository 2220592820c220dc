import type { Diagnostic } from "./diagnostic.ts";
import { diagnosticTable } from "./diagnostic_table.ts";

/** Returns the message of a diagnostic without its category and number. */
export function getDiagnosticMessage(diagnostic: Diagnostic): string {
  return diagnosticTable[diagnostic.code].template
    .replaceAll("{path}", () => diagnostic.path)
    .replaceAll("{found}", () => diagnostic.found)
    .replaceAll("{allowed}", () => diagnostic.allowed);
}
