/** The properties that all refusals with one reason share. */
export interface RefusalDefinition {
  /** The HTTP status code of the response to the caller. */
  readonly status: number;
  readonly title: string;
  /** A description for people, in one sentence; used if the refusal has no more specific one. */
  readonly detail: string;
  /** The suggested delay before another attempt, if no better estimate is available. */
  readonly retryMilliseconds: number;
}
