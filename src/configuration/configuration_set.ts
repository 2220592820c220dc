import type { ConfigurationPart } from "./configuration_part.ts";
import type { Manifest } from "./manifest.ts";
import type { Version } from "./version.ts";

/** One version with its manifest and the parts that the manifest lists. */
export interface ConfigurationSet {
  readonly version: Version;
  readonly manifest: Manifest;
  /** The parts, keyed by digest. */
  readonly parts: ReadonlyMap<string, ConfigurationPart>;
}
