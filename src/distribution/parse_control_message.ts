import { Result } from "true-myth";
import type * as z from "zod";
import { createSchemaDiagnostics } from "../diagnostics/create_schema_diagnostics.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";

/** Validates a message from another node against its schema. */
export function parseControlMessage<Schema extends z.ZodType>(
  schema: Schema,
  input: unknown,
): Result<z.infer<Schema>, readonly Diagnostic[]> {
  const checked = schema.safeParse(input);
  return checked.success
    ? Result.ok(checked.data)
    : Result.err(createSchemaDiagnostics(checked.error, {
      input,
      invalidField: DiagnosticCode.ControlMessageInvalid,
      unknownField: DiagnosticCode.ControlMessageInvalid,
    }));
}
