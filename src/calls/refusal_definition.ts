/** What every refusal with one reason has in common. */
export interface RefusalDefinition {
  /** The HTTP status towards the caller. */
  readonly status: number;
  readonly title: string;
  /** One sentence for people, where the refusal has no closer one. */
  readonly detail: string;
  /** How far ahead the next attempt is suggested where nothing better is known. */
  readonly retryMilliseconds: number;
}
