import type { Result } from "true-myth";
import type { CompiledConfiguration } from "../configuration/compiled_configuration.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { compileConfigurationText } from "./compile_configuration_text.ts";
import { readTextFile } from "./read_text_file.ts";

/** Reads a configuration document from a file and compiles it. */
export async function loadConfiguration(
  path: string,
): Promise<Result<CompiledConfiguration, readonly Diagnostic[]>> {
  const text = await readTextFile(path, DiagnosticCode.FileUnreadable);
  return text.mapErr((reason) => [reason]).andThen(compileConfigurationText);
}
