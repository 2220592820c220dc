import { readFile } from "node:fs/promises";
import { Result } from "true-myth";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { compileText } from "./compile_text.ts";

/** Reads and compiles the configuration in a file. */
export async function loadConfiguration(
  path: string,
): Promise<Result<CompiledConfiguration, readonly Diagnostic[]>> {
  try {
    return compileText(await readFile(path, "utf8"));
  } catch (error) {
    return Result.err([
      createDiagnostic(DiagnosticCode.FileUnreadable, {
        path,
        found: error instanceof Error ? error.message : String(error),
      }),
    ]);
  }
}
