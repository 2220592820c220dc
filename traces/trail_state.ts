import type { Version } from "../src/configuration/version.ts";

/** The state after the audit entries that have been replayed. */
export interface TrailState {
  /** The version in force in the latest incarnation of the node, by VM. */
  readonly inForce: ReadonlyMap<string, Version>;
  /** The highest version, as `compareVersions` orders them, that was in force in any incarnation of the node, by VM. */
  readonly highest: ReadonlyMap<string, Version>;
  /** VMs that refused a version, by the number of the version. */
  readonly refused: ReadonlyMap<string, readonly string[]>;
  /** VMs that reported different contents under the same version number, by that number. */
  readonly conflicts: ReadonlyMap<string, readonly string[]>;
  /** Zones taken out in the latest incarnation of the node, by VM. */
  readonly zonesTakenOut: ReadonlyMap<string, readonly string[]>;
  /** Digests of all versions that a VM refused. */
  readonly refusedDigests: ReadonlySet<string>;
  /** Messages about entries that violate a consistency rule. */
  readonly faults: readonly string[];
}
