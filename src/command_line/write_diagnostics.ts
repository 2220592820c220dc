import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import type { Output } from "./output.ts";

/** Writes one line for each diagnostic, with the file or address that it is about in front. */
export function writeDiagnostics(
  output: Output,
  diagnostics: readonly Diagnostic[],
  { subject }: { readonly subject: string },
): void {
  diagnostics.forEach((diagnostic) =>
    output.write(`${subject}: ${formatDiagnostic(diagnostic)}\n`)
  );
}
