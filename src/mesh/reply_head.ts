import type { ReplyMessage } from "./reply_message.ts";

/** The head of a reply on an offer connection. */
export interface ReplyHead {
  readonly reply: ReplyMessage;
  /** Status of the answer; that of the HTTP message if there is none. */
  readonly status: number;
  /** Headers of the answer as alternating names and values. */
  readonly headers: readonly string[];
}
