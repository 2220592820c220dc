/** The state of a node at the moment of a scrape. */
export interface MeshGauges {
  /** Version of the rules in force; 0 if there are none. */
  readonly rulesVersion: number;
  /** How often the source came back from an older copy; 0 before the first reading. */
  readonly sourceEra: number;
  /**
   * Milliseconds for which the source has responded without a failure; -1 while
   * it does not.
   */
  readonly sourceSoundMilliseconds: number;
  /**
   * Milliseconds since the rules were certainly current; -1 if they never were,
   * and without a bound on withdrawn keys.
   */
  readonly rulesAgeMilliseconds: number;
  /** Number of organisations of the rules in force. */
  readonly organisations: number;
  /** Number of neighbours that follow the feed of this node. */
  readonly feedFollowers: number;
  /** Nodes to which offers are sent on an offer connection. */
  readonly offerConnections: number;
  /** Nodes that send offers to this one on an offer connection. */
  readonly servedOfferConnections: number;
  readonly registeredServers: number;
  readonly zonesTakenOut: number;
  /** Calls at the backend server of this VM. */
  readonly running: number;
  /** Calls that wait for a slot of the backend server of this VM. */
  readonly queued: number;
  /** Slots of the backend server of this VM. */
  readonly slots: number;
  /** Whether the backend server of this VM is in cold start. */
  readonly cold: boolean;
  /** The most calls a second that it states to take; -1 if it states no limit. */
  readonly callsPerSecondLimit: number;
  /** Whether it states that it is about to leave. */
  readonly leaving: boolean;
  /** Whether the backend server of this VM may receive new calls. */
  readonly open: boolean;
  /** Calls of callers that have no response yet. */
  readonly callerCalls: number;
  /** Organisations whose quota this node grants as the established owner. */
  readonly quotasOwned: number;
  /** Organisations whose quota's owner did not reply to the last request. */
  readonly quotaOwnersUnreachable: number;
  /** Requests that are refused because backend servers crashed under them. */
  readonly quarantinedRequests: number;
  readonly stopping: boolean;
}
