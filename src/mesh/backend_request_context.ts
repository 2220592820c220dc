/** What the mesh tells a backend server with a request. */
export interface BackendRequestContext {
  /** The incarnation that the request is meant for; undefined where it is unknown. */
  readonly identifier: string | undefined;
  readonly callerService: string;
  /** How long the caller still waits. */
  readonly remainingMilliseconds: number;
}
