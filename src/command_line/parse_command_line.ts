import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import type { CommandLineSyntax } from "./command_line_syntax.ts";
import type { ParsedCommandLine } from "./parsed_command_line.ts";
import { tryParseArguments } from "./try_parse_arguments.ts";

function findOperandCountError(
  operands: readonly string[],
  syntax: CommandLineSyntax,
): Diagnostic | undefined {
  if (operands.length < syntax.operandsMinimum) {
    return createDiagnostic(DiagnosticCode.UsageInvalid, {
      path: "operands",
      found: "missing",
      allowed: syntax.usage,
    });
  }
  if (operands.length > syntax.operandsMaximum) {
    return createDiagnostic(DiagnosticCode.UsageInvalid, {
      path: operands[syntax.operandsMaximum] ?? "",
      found: "an unexpected operand",
      allowed: syntax.usage,
    });
  }
  return undefined;
}

/** Parses the arguments of a command. With `--help`, the number of operands is not checked. */
export function parseCommandLine(
  commandLineArguments: readonly string[],
  syntax: CommandLineSyntax,
): Result<ParsedCommandLine, Diagnostic> {
  const parsed = tryParseArguments({
    args: [...commandLineArguments],
    options: {
      ...syntax.options,
      help: { type: "boolean" as const, short: "h" },
    },
    allowPositionals: true,
    strict: true,
  }, syntax);
  return parsed.andThen(({ values, positionals }) => {
    const operandError = values["help"] === true
      ? undefined
      : findOperandCountError(positionals, syntax);
    return operandError === undefined
      ? Result.ok<ParsedCommandLine, Diagnostic>({
        values,
        operands: positionals,
      })
      : Result.err<ParsedCommandLine, Diagnostic>(operandError);
  });
}
