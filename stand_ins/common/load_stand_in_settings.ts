import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import * as z from "zod";

const usageExitStatus = 2;

/** Returns the validated settings from the file that `--settings` names; exits the process with status 2 if they are invalid. */
export function loadStandInSettings<Settings>(
  schema: z.ZodType<Settings>,
  usage: string,
): Settings {
  try {
    const { values } = parseArgs({
      options: { settings: { type: "string" }, help: { type: "boolean" } },
    });
    if (values.help === true) {
      process.stdout.write(`${usage}\n`);
      process.exit(0);
    }
    const text = readFileSync(values.settings ?? "", "utf8");
    const result = schema.safeParse(JSON.parse(text));
    if (result.success) {
      return result.data;
    }
    process.stderr.write(`${z.prettifyError(result.error)}\n`);
  } catch (error) {
    process.stderr.write(
      `Cannot read the settings: ${
        error instanceof Error ? error.message : String(error)
      }\n${usage}\n`,
    );
  }
  return process.exit(usageExitStatus);
}
