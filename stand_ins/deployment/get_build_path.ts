import { fileURLToPath } from "node:url";

/** Returns the path of a compiled program, given below the root of the build. */
export function getBuildPath(program: string): string {
  return fileURLToPath(new URL(`../../${program}`, import.meta.url));
}
