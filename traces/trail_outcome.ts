/** The final state of a replayed audit trail. */
export interface TrailOutcome {
  /** Number of the version in force at the end, by VM. */
  readonly inForce: Readonly<Record<string, number>>;
  /** Number of different contents in force at the end. */
  readonly contentsInForce: number;
  /** VMs that refused a version, by the number of the version. */
  readonly refusedBy: Readonly<Record<string, readonly string[]>>;
  /** VMs that reported different contents under the same version number, by that number. */
  readonly conflictSeenBy: Readonly<Record<string, readonly string[]>>;
  /** Zones taken out at the end, by VM; VMs without such zones are omitted. */
  readonly zonesTakenOut: Readonly<Record<string, readonly string[]>>;
  /** Messages about entries that violate a consistency rule of the distribution. */
  readonly faults: readonly string[];
}
