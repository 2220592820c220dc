import { buildSync } from "esbuild";

/** Builds the bundle of a node as a deployment does, with names kept. */
export function buildNodeBundle(path: string): void {
  buildSync({
    entryPoints: ["platform/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: path,
    logLevel: "warning",
  });
}
