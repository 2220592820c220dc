import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { CommandOutput } from "./command_output.ts";

/** Writes one line for each diagnostic to standard error. */
export function reportDiagnostics(
  diagnostics: readonly Diagnostic[],
  output: CommandOutput,
): void {
  diagnostics.forEach((diagnostic) =>
    output.writeError(`${formatDiagnostic(diagnostic)}\n`)
  );
}
