/** What a node believes and holds at the moment of a scrape. */
export interface MeshGauges {
  readonly rulesVersion: number;
  /** Age of contact with the source; -1 while there is none. */
  readonly sourceSoundMilliseconds: number;
  /** Neighbours that learn of the source from this node. */
  readonly feedFollowers: number;
  readonly registeredServers: number;
  readonly zonesTakenOut: number;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly cold: boolean;
  readonly open: boolean;
  readonly callerCalls: number;
  readonly stopping: boolean;
}
