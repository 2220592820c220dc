import type { ConfigurationPart } from "./configuration_part.ts";
import type { Manifest } from "./manifest.ts";
import type { Version } from "./version.ts";

/** One whole version: its manifest and the content of every part that the manifest names. */
export interface ConfigurationSet {
  readonly version: Version;
  readonly manifest: Manifest;
  /** The parts by digest. */
  readonly parts: ReadonlyMap<string, ConfigurationPart>;
}
