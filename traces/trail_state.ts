import type { Version } from "../src/configuration/version.ts";

/** What is known after the entries replayed so far. */
export interface TrailState {
  /** By VM, since its latest start. */
  readonly inForce: ReadonlyMap<string, Version>;
  /** The highest ever in force, by VM, over all its starts. */
  readonly highest: ReadonlyMap<string, Version>;
  readonly refused: ReadonlyMap<string, readonly string[]>;
  readonly conflicts: ReadonlyMap<string, readonly string[]>;
  readonly zonesTakenOut: ReadonlyMap<string, readonly string[]>;
  readonly refusedDigests: ReadonlySet<string>;
  readonly faults: readonly string[];
}
