import type { ConfigurationSet } from "./configuration_set.ts";
import type { Snapshot } from "./snapshot.ts";

/** A version together with the snapshot that it compiles to. */
export interface CompiledConfiguration {
  readonly set: ConfigurationSet;
  readonly snapshot: Snapshot;
}
