/** The response to a call as its caller receives it: an answer or a refusal. */
export interface MeshResponse {
  /** 0 if the connection ended without a response. */
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the response is complete. */
  readonly whole: boolean;
}
