/** What a node believes and holds at the moment of a scrape. */
export interface MeshGauges {
  readonly rulesVersion: number;
  /** Age of contact with the source; -1 while there is none. */
  readonly sourceSoundMilliseconds: number;
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
