import type { ConfigurationSet } from "./configuration_set.ts";
import type { Snapshot } from "./snapshot.ts";

/** A version together with what it compiled to. */
export interface CompiledConfiguration {
  readonly set: ConfigurationSet;
  readonly snapshot: Snapshot;
}
