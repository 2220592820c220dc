import type { RegisterRecord } from "../register/register_record.ts";
import type { RegisterState } from "../register/register_state.ts";
import type { RouteTable } from "../routing/route_table.ts";
import type { Rules } from "../routing/rules.ts";

/** What a node believes of rules, zones and backend servers. Changed in place. */
export interface MeshView {
  /** The rules in force; undefined before the first version. */
  rules: Rules | undefined;
  routes: RouteTable;
  readonly register: RegisterState;
  /** The records of the register by service, as far as they were asked for since it changed. */
  readonly recordsByService: Map<string, readonly RegisterRecord[]>;
  readonly zonesTakenOut: Set<string>;
  /** Revision of each key that was taken over. */
  readonly revisions: Map<string, number>;
  /** The zone that each key takes out. */
  readonly zonesByKey: Map<string, string>;
  /** The backend server that each key registers. */
  readonly serverIdentifiersByKey: Map<string, string>;
  /** Since when the source has answered without a failure; infinity while it does not. */
  sourceSoundSince: number;
}
