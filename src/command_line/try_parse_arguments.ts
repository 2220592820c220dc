import { Result } from "true-myth";
import { parseArgs, type ParseArgsConfig } from "node:util";
import { getErrorCode } from "../daemon/get_error_code.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";

const descriptionByErrorCode: Readonly<Record<string, string>> = {
  ERR_PARSE_ARGS_UNKNOWN_OPTION: "an unknown option",
  ERR_PARSE_ARGS_INVALID_OPTION_VALUE:
    "an option with a missing or unexpected value",
};

/**
 * Parses arguments with `util.parseArgs`. Returns a diagnostic with `usage` for
 * arguments that it rejects.
 */
export function tryParseArguments<Config extends ParseArgsConfig>(
  config: Config,
  { usage }: { readonly usage: string },
): Result<ReturnType<typeof parseArgs<Config>>, Diagnostic> {
  try {
    return Result.ok(parseArgs(config));
  } catch (error) {
    return Result.err(
      createDiagnostic(DiagnosticCode.UsageInvalid, {
        path: findQuotedOption(error) ?? (config.args ?? []).join(" "),
        found: descriptionByErrorCode[getErrorCode(error)] ?? "invalid",
        allowed: usage,
      }),
    );
  }
}

/**
 * Returns the option that the message of a `util.parseArgs` error quotes,
 * without the placeholder of its value.
 */
function findQuotedOption(error: unknown): string | undefined {
  return error instanceof Error
    ? /'(--?[^' ]+)/.exec(error.message)?.[1]
    : undefined;
}
