import { existsSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";

/** Environment variable that makes tests record the actual texts as baselines when it is `1`. */
const acceptVariable = "CATKINQUAY_ACCEPT_BASELINES";

/**
 * Returns the baseline in the file at `path`, for a test to compare with
 * `actual`; an empty text if the file does not exist. Writes `actual` to the
 * file first if `CATKINQUAY_ACCEPT_BASELINES` is `1`.
 */
export function readBaseline(path: string, actual: string): string {
  if (process.env[acceptVariable] === "1") {
    writeFileSync(path, actual);
  }
  return existsSync(path) ? readFileSync(path, "utf8") : "";
}
