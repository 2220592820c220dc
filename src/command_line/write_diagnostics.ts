import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { CommandOutput } from "./command_output.ts";

/** Writes to standard error one line for each diagnostic, with the file or address that it is about in front. */
export function writeDiagnostics(
  output: CommandOutput,
  diagnostics: readonly Diagnostic[],
  { subject }: { readonly subject: string },
): void {
  diagnostics.forEach((diagnostic) =>
    output.writeError(`${subject}: ${formatDiagnostic(diagnostic)}\n`)
  );
}
