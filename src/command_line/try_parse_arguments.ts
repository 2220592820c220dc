import { Result } from "true-myth";
import { parseArgs, type ParseArgsConfig } from "node:util";
import { getErrorCode } from "../daemon/get_error_code.ts";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";

const foundByErrorCode: Readonly<Record<string, string>> = {
  ERR_PARSE_ARGS_UNKNOWN_OPTION: "an unknown option",
  ERR_PARSE_ARGS_INVALID_OPTION_VALUE:
    "an option without its value, or with one that it does not take",
};

/** Parses arguments with `util.parseArgs`; an unknown or incomplete option is a diagnostic that says `usage`. */
export function tryParseArguments<Config extends ParseArgsConfig>(
  config: Config,
  { usage }: { readonly usage: string },
): Result<ReturnType<typeof parseArgs<Config>>, Diagnostic> {
  try {
    return Result.ok(parseArgs(config));
  } catch (error) {
    return Result.err(
      createDiagnostic(DiagnosticCode.UsageInvalid, {
        path: findQuoted(error) ?? (config.args ?? []).join(" "),
        found: foundByErrorCode[getErrorCode(error)] ?? "not understood",
        allowed: usage,
      }),
    );
  }
}

/** The message of the library begins with the option in quotes. */
function findQuoted(error: unknown): string | undefined {
  return error instanceof Error
    ? /'(--?[^' ]+)/.exec(error.message)?.[1]
    : undefined;
}
