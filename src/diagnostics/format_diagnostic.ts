import type { Diagnostic } from "./diagnostic.ts";
import { diagnosticTable } from "./diagnostic_table.ts";
import { getDiagnosticMessage } from "./get_diagnostic_message.ts";

/** Formats a diagnostic as one line: category, number and message. */
export function formatDiagnostic(diagnostic: Diagnostic): string {
  const category = diagnosticTable[diagnostic.code].category;
  return `${category} CQ${diagnostic.code}: ${
    getDiagnosticMessage(diagnostic)
  }`;
}
