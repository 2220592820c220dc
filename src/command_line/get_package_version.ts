import { readFileSync } from "node:fs";
import * as z from "zod";

const packageFile = new URL("../../../package.json", import.meta.url);
const packageSchema = z.object({ version: z.string() });

/** Returns the version in the `package.json` of the installed package. */
export function getPackageVersion(): string {
  return packageSchema.parse(JSON.parse(readFileSync(packageFile, "utf8")))
    .version;
}
