import { readFile } from "node:fs/promises";
import type { Result } from "true-myth";
import { tryOrElse } from "true-myth/task";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";

/** Reads a UTF-8 file. On failure, returns a diagnostic with `code`. */
export async function readTextFile(
  path: string,
  code: DiagnosticCode,
): Promise<Result<string, Diagnostic>> {
  return await tryOrElse(
    (error) =>
      createDiagnostic(code, {
        path,
        found: error instanceof Error ? error.message : String(error),
      }),
    () => readFile(path, "utf8"),
  );
}
