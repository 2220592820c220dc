import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { CommandLineShape } from "./command_line_shape.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";
import { tryParseArguments } from "./try_parse_arguments.ts";

function findOperandFault(
  operands: readonly string[],
  shape: CommandLineShape,
): Diagnostic | undefined {
  if (operands.length < shape.operandsMinimum) {
    return createDiagnostic(DiagnosticCode.UsageInvalid, {
      path: "operands",
      found: "missing",
      allowed: shape.usage,
    });
  }
  if (operands.length > shape.operandsMaximum) {
    return createDiagnostic(DiagnosticCode.UsageInvalid, {
      path: operands[shape.operandsMaximum] ?? "",
      found: "one too many",
      allowed: shape.usage,
    });
  }
  return undefined;
}

/** Parses the arguments of a command; the operands are not counted where `--help` is given. */
export function parseCommandLine(
  parameters: readonly string[],
  shape: CommandLineShape,
): Result<ParsedCommandLine, Diagnostic> {
  const parsed = tryParseArguments({
    args: [...parameters],
    options: {
      ...shape.options,
      help: { type: "boolean" as const, short: "h" },
    },
    allowPositionals: true,
    strict: true,
  }, shape);
  return parsed.andThen(({ values, positionals }) => {
    const fault = values["help"] === true
      ? undefined
      : findOperandFault(positionals, shape);
    return fault === undefined
      ? Result.ok<ParsedCommandLine, Diagnostic>({
        values,
        operands: positionals,
      })
      : Result.err<ParsedCommandLine, Diagnostic>(fault);
  });
}
