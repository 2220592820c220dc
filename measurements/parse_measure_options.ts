import { parseArgs } from "node:util";
import { Result } from "true-myth";
import { tryOrElse } from "true-myth/result";
import { createDiagnostic } from "../src/diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../src/diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../src/diagnostics/diagnostic_code.ts";
import type { MeasureOptions } from "./measure_options.ts";

const defaultSeed = 1;
const defaultRepeats = 3;
const quickRepeats = 1;
const maximumRepeats = 20;
const defaultOutput = "docs/measurements";

/**
 * Parses the command line of the measurements. A quick run writes no pages
 * unless `--output` names a folder, so that it cannot overwrite full results.
 */
export function parseMeasureOptions(
  parameters: readonly string[],
  measureNames: readonly string[],
): Result<MeasureOptions, Diagnostic> {
  const parsed = tryParse(parameters);
  if (parsed.isErr) {
    return Result.err(parsed.error);
  }
  const values = parsed.value;
  const seed = Number(values.seed ?? defaultSeed);
  if (!Number.isSafeInteger(seed)) {
    return Result.err(createUsageDiagnostic("--seed", {
      found: `"${values.seed}"`,
      allowed: "a whole number",
    }));
  }
  const quick = values.quick ?? false;
  const repeats = Number(
    values.repeats ?? (quick ? quickRepeats : defaultRepeats),
  );
  if (
    !Number.isSafeInteger(repeats) || repeats < 1 || repeats > maximumRepeats
  ) {
    return Result.err(createUsageDiagnostic("--repeats", {
      found: `"${values.repeats}"`,
      allowed: `a whole number from 1 to ${maximumRepeats}`,
    }));
  }
  const only = values.only ?? [];
  const unknown = only.find((name) => !measureNames.includes(name));
  if (unknown !== undefined) {
    return Result.err(createUsageDiagnostic("--only", {
      found: `"${unknown}"`,
      allowed: measureNames.join(", "),
    }));
  }
  return Result.ok({
    quick,
    json: values.json ?? false,
    help: values.help ?? false,
    seed,
    repeats,
    only,
    output: values.output ?? (quick ? undefined : defaultOutput),
  });
}

function tryParse(parameters: readonly string[]) {
  return tryOrElse(
    (error: unknown) =>
      createUsageDiagnostic("command line", {
        found: `"${error instanceof Error ? error.message : error}"`,
        allowed: "the options that --help lists",
      }),
    () =>
      parseArgs({
        args: [...parameters],
        options: {
          quick: { type: "boolean" },
          json: { type: "boolean" },
          help: { type: "boolean", short: "h" },
          seed: { type: "string" },
          repeats: { type: "string" },
          only: { type: "string", multiple: true },
          output: { type: "string" },
        },
      }).values,
  );
}

function createUsageDiagnostic(
  path: string,
  details: { readonly found: string; readonly allowed: string },
): Diagnostic {
  return createDiagnostic(DiagnosticCode.UsageInvalid, { path, ...details });
}
