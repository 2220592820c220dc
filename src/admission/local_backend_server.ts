import type { ZoneState } from "../configuration/zone_state.ts";

/** The backend server beside this node, according to the configuration in force. */
export interface LocalBackendServer {
  readonly zone: string;
  /** Taken out if either the backend server's zone or the node's own zone is. */
  readonly zoneState: ZoneState;
  /** Whether the configuration lists the backend server as leaving, so that it gets no new calls. */
  readonly leaving: boolean;
  /** The maximum number of concurrent calls: the registered slots, bounded by the connections. */
  readonly slots: number;
  /** The limit at the beginning of a cold start, at most `slots`. */
  readonly coldSlots: number;
}
