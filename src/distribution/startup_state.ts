import type { Version } from "../configuration/version.ts";
import type { StartupQueryStatus } from "./startup_query_status.ts";

/**
 * The startup query: the versions that the peers store, requested before a
 * first version is put in force. Instants are in milliseconds since the Unix
 * epoch.
 */
export interface StartupState {
  /** Whether a first version may be put in force. */
  readonly isComplete: boolean;
  /** When the next peers are queried. */
  readonly nextQueryAt: number;
  /**
   * When the wait for further responses ends, provided that one reported a
   * version.
   */
  readonly responseDeadline: number;
  /** Whether a peer has sent the records that it stores of other nodes. */
  readonly hasDiscoveredPeers: boolean;
  /** The status of the query to each queried peer, by address. */
  readonly answers: ReadonlyMap<string, StartupQueryStatus>;
  /**
   * The highest version that a peer has reported; no older one is put in force
   * first.
   */
  readonly minimumVersion: Version | undefined;
}
