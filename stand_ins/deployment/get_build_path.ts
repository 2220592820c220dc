import { fileURLToPath } from "node:url";

/** Returns the absolute path of a compiled program from its path relative to the root of the build. */
export function getBuildPath(program: string): string {
  return fileURLToPath(new URL(`../../${program}`, import.meta.url));
}
