import type * as z from "zod";
import { createDiagnostic } from "./create_diagnostic.ts";
import { formatFoundValue } from "./format_found_value.ts";
import type { Diagnostic } from "./diagnostic.ts";
import type { DiagnosticCode } from "./diagnostic_code.ts";
import { formatPath } from "./format_path.ts";
import { getValueAt } from "./get_value_at.ts";

/**
 * Converts the issues of a failed validation to diagnostics. The messages of the
 * schema describe the allowed values, and `input` supplies the values found.
 */
export function createSchemaDiagnostics(
  error: z.ZodError,
  options: {
    readonly input: unknown;
    readonly invalidField: DiagnosticCode;
    readonly unknownField: DiagnosticCode;
  },
): readonly Diagnostic[] {
  return error.issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) =>
        createDiagnostic(options.unknownField, {
          path: formatPath([...issue.path, key]),
          found: formatFoundValue(
            getValueAt(options.input, [...issue.path, key]),
          ),
          allowed: issue.message,
        })
      );
    }
    return [
      createDiagnostic(options.invalidField, {
        path: formatPath(issue.path),
        found: formatFoundValue(getValueAt(options.input, issue.path)),
        allowed: issue.message,
      }),
    ];
  });
}
