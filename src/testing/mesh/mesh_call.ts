/** What a test's call differs in. */
export interface MeshCall {
  readonly identifier?: string;
  readonly method?: string;
  readonly path?: string;
  readonly body?: string;
  readonly remainingMilliseconds?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}
