import type { ZoneState } from "../configuration/zone_state.ts";

/** What the configuration in force says of the backend server beside this node. */
export interface LocalBackendServer {
  readonly zone: string;
  readonly zoneState: ZoneState;
  readonly leaving: boolean;
  /** The most calls that it may run at once: its slots, bounded by its connections. */
  readonly slots: number;
  /** At most `slots`. */
  readonly coldSlots: number;
}
