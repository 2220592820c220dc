import { Buffer } from "node:buffer";
import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { createSchemaDiagnostics } from "../diagnostics/create_schema_diagnostics.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { configurationLimits } from "./configuration_limits.ts";
import type { ParsedConfiguration } from "./parsed_configuration.ts";
import { parsedConfigurationSchema } from "./parsed_configuration_schema.ts";

/**
 * Parses the text of a configuration document and validates it against the
 * schema. On failure, returns one diagnostic for every invalid field, with the
 * value found and the values allowed. Truncated text fails as invalid JSON.
 *
 * @param options.maxBytes the maximum size of the text, in bytes of UTF-8
 */
export function parseConfiguration(
  text: string,
  options: { readonly maxBytes: number } = configurationLimits,
): Result<ParsedConfiguration, readonly Diagnostic[]> {
  const bytes = Buffer.byteLength(text);
  if (bytes > options.maxBytes) {
    return Result.err([
      createDiagnostic(DiagnosticCode.ConfigurationTooLarge, {
        found: String(bytes),
        allowed: `at most ${options.maxBytes}`,
      }),
    ]);
  }
  return parseJson(text).andThen(validateDocument);
}

function parseJson(text: string): Result<unknown, readonly Diagnostic[]> {
  try {
    return Result.ok(JSON.parse(text));
  } catch (error) {
    return Result.err([
      createDiagnostic(DiagnosticCode.ConfigurationNotJson, {
        found: error instanceof Error ? error.message : String(error),
      }),
    ]);
  }
}

function validateDocument(
  input: unknown,
): Result<ParsedConfiguration, readonly Diagnostic[]> {
  const checked = parsedConfigurationSchema.safeParse(input);
  return checked.success
    ? Result.ok(checked.data)
    : Result.err(createSchemaDiagnostics(checked.error, {
      input,
      invalidField: DiagnosticCode.ConfigurationFieldInvalid,
      unknownField: DiagnosticCode.ConfigurationFieldUnknown,
    }));
}
