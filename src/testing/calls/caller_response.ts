/** The response to a call as its caller receives it: an answer or a refusal. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}
