import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { CommandOutput } from "./command_output.ts";

/**
 * Writes one line for each diagnostic to standard error, prefixed with the file
 * or address that it concerns.
 */
export function reportDiagnosticsWithSubject(
  output: CommandOutput,
  diagnostics: readonly Diagnostic[],
  { subject }: { readonly subject: string },
): void {
  diagnostics.forEach((diagnostic) =>
    output.writeError(`${subject}: ${formatDiagnostic(diagnostic)}\n`)
  );
}
