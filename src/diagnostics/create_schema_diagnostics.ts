import type { z } from "zod";
import { createDiagnostic } from "./create_diagnostic.ts";
import { describeValue } from "./describe_value.ts";
import type { Diagnostic } from "./diagnostic.ts";
import type { SchemaDiagnosticCodes } from "./schema_diagnostic_codes.ts";

/**
 * Returns a diagnostic for each issue that a schema found in `input`. The
 * message of an issue must say what is allowed at its path.
 */
export function createSchemaDiagnostics(
  error: z.ZodError,
  options: { readonly input: unknown; readonly codes: SchemaDiagnosticCodes },
): readonly Diagnostic[] {
  return error.issues.flatMap((issue) =>
    issue.code === "unrecognized_keys"
      ? issue.keys.map((key) =>
        createDiagnostic(options.codes.fieldUnknown, {
          path: formatPath([...issue.path, key]),
          allowed: issue.message,
        })
      )
      : [createDiagnostic(options.codes.fieldInvalid, {
        path: formatPath(issue.path),
        found: describeValue(getValueAt(options.input, issue.path)),
        allowed: issue.message,
      })]
  );
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>(
    (text, key) =>
      typeof key === "number"
        ? `${text}[${key}]`
        : text === ""
        ? String(key)
        : `${text}.${String(key)}`,
    "",
  );
}

function getValueAt(input: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === "object" && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    input,
  );
}
