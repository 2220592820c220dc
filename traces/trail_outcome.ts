/** What a replayed audit trail comes to. */
export interface TrailOutcome {
  /** Number of the version in force at the end, by VM. */
  readonly inForce: Readonly<Record<string, number>>;
  /** How many contents are in force at the end. */
  readonly contentsInForce: number;
  /** VMs that refused a version, by its number. */
  readonly refusedBy: Readonly<Record<string, readonly string[]>>;
  /** VMs that saw two contents under one number, by that number. */
  readonly conflictSeenBy: Readonly<Record<string, readonly string[]>>;
  /** Zones taken out at the end, by VM; VMs without any are left out. */
  readonly zonesTakenOut: Readonly<Record<string, readonly string[]>>;
  /** Entries that the rules of the core do not allow. */
  readonly faults: readonly string[];
}
