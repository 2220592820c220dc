/** A response that is complete by the rules of HTTP. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}
