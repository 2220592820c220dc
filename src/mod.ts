/**
 * The public names of the library.
 *
 * @module
 */
export type { Version } from "./configuration/version.ts";
export { compareVersions } from "./configuration/compare_versions.ts";
