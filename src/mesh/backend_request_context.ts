/**
 * The data that the mesh adds to a request in headers for the backend server.
 */
export interface BackendRequestContext {
  /** Identifier of the intended incarnation; undefined if it is unknown. */
  readonly identifier: string | undefined;
  /** Service that the request comes from. */
  readonly callerService: string;
  /** Name of the caller's organisation; undefined if there is none. */
  readonly organisation: string | undefined;
  /** Time until the caller's deadline. */
  readonly remainingMilliseconds: number;
}
