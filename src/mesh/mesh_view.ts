import type { KeyIndex } from "../organisations/key_index.ts";
import type { RegisterRecord } from "../register/register_record.ts";
import type { RegisterState } from "../register/register_state.ts";
import type { RouteTable } from "../routing/route_table.ts";
import type { Rules } from "../routing/rules.ts";

/**
 * The rules, zones and backend servers as this node knows them at present.
 * Mutable.
 */
export interface MeshView {
  /** The rules in force; undefined before the first version. */
  rules: Rules | undefined;
  routes: RouteTable;
  /** The organisations of the rules in force, by the hashes of their keys. */
  readonly organisationsByKeyHash: KeyIndex;
  readonly register: RegisterState;
  /** Records of the register by service, cached until the register changes. */
  readonly recordsByService: Map<string, readonly RegisterRecord[]>;
  /** Changes with each reading that changes more than heartbeats. */
  candidatesVersion: number;
  readonly zonesTakenOut: Set<string>;
  /** Era of the last applied reading; undefined before the first. */
  sourceEra: number | undefined;
  /**
   * Keys of zones taken out that the source no longer lists since it came back
   * from an older copy; the operators may write them again.
   */
  readonly heldZoneKeys: Set<string>;
  /** Instant until which such zones stay taken out, in milliseconds since the Unix epoch. */
  heldZonesUntil: number;
  /** Revision of each key's last applied item. */
  readonly revisions: Map<string, number>;
  /** The zone that each key takes out. */
  readonly zonesByKey: Map<string, string>;
  /** Identifier of the backend server that each key registers. */
  readonly serverIdentifiersByKey: Map<string, string>;
  /**
   * Instant since which the source has responded without a failure, in
   * milliseconds since the Unix epoch; infinity while it does not.
   */
  sourceAvailableSince: number;
}
