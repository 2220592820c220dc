import { Result } from "true-myth";
import { tryOrElse } from "true-myth/result";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import { createSchemaDiagnostics } from "../diagnostics/create_schema_diagnostics.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { NodeSettings } from "./node_settings.ts";
import { nodeSettingsSchema } from "./node_settings_schema.ts";

/** Parses and validates the text of a settings file; `path` names the file in diagnostics. */
export function parseNodeSettings(
  text: string,
  path: string,
): Result<NodeSettings, readonly Diagnostic[]> {
  const json = tryOrElse(
    (error) => [
      createDiagnostic(DiagnosticCode.SettingsNotJson, {
        path,
        found: error instanceof Error ? error.message : String(error),
      }),
    ],
    () => JSON.parse(text) as unknown,
  );
  return json.andThen((input) => {
    const parsed = nodeSettingsSchema.safeParse(input);
    return parsed.success
      ? Result.ok<NodeSettings, readonly Diagnostic[]>(parsed.data)
      : Result.err<NodeSettings, readonly Diagnostic[]>(
        createSchemaDiagnostics(parsed.error, {
          input,
          invalidField: DiagnosticCode.SettingsFieldInvalid,
          unknownField: DiagnosticCode.SettingsFieldUnknown,
        }),
      );
  });
}
