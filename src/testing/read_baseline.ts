import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";

/** Set to `1` to record what the tests see instead of comparing. */
const acceptVariable = "CATKINQUAY_ACCEPT_BASELINES";

/**
 * Returns the recorded text of a file, for a test to compare with `actual`.
 * Empty where none is recorded; recorded anew where the environment says so.
 */
export function readBaseline(path: string, actual: string): string {
  if (process.env[acceptVariable] === "1") {
    writeFileSync(path, actual);
  }
  return existsSync(path) ? readFileSync(path, "utf8") : "";
}
