/** Properties of a test's call that replace the defaults. */
export interface MeshCall {
  readonly identifier?: string;
  readonly method?: string;
  readonly path?: string;
  readonly body?: string;
  /** Time until the caller's deadline; 2,000 if omitted. */
  readonly remainingMilliseconds?: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Bytes of the response's body that are kept, for one without end; all if omitted. */
  readonly keptBytesMaximum?: number;
  /** Aborts the call, as a caller that closes its connection does. */
  readonly signal?: AbortSignal;
}
