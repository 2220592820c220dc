/** An answer that came whole by the rules of HTTP. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array;
}
