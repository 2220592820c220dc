/** Names of the headers that callers and backend servers use in tests of the mesh. */
export enum MeshHeader {
  /** Identifier of the call. */
  Call = "test-call",
  /** Time until the caller's deadline, in milliseconds. */
  Remaining = "test-remaining",
  /** Present in a signed answer. */
  Signature = "test-signature",
  /** Present if the backend server did not run the call. */
  NotRun = "test-not-run",
  /** Incarnation of the backend server that the request is meant for. */
  Target = "test-target",
  /** Incarnation of the backend server that answered. */
  Identifier = "test-identifier",
  /** API key of the caller. */
  Key = "test-key",
  /** Name of the caller's organisation. */
  Organisation = "test-organisation",
  CallerService = "test-caller-service",
  /** Remaining cold start of the backend server, in milliseconds. */
  Cold = "test-cold",
  /** The most calls a second that the backend server takes from all nodes. */
  Limit = "test-limit",
  /** Present if the backend server is about to leave. */
  Leaving = "test-leaving",
}
