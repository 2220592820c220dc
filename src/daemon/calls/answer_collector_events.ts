import type { AnswerHead } from "../../calls/answer_head.ts";

type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Callbacks of an answer collector. Unless the exchange is cancelled, it ends with
 * exactly one of `onComplete`, `onStreamEnd`, `onNotSent` and `onBroken`.
 */
export interface AnswerCollectorEvents {
  /** The request is about to be written; cancelling now keeps it from being sent. */
  onStart(): void;
  /** An interim response (status 1xx) was received. */
  onInterimResponse(): void;
  /** The head was received; returning false rejects the answer as malformed. */
  onHead(head: AnswerHead, headers: ParsedHeaders): boolean;
  onComplete(head: AnswerHead, body: Uint8Array): void;
  /** The answer exceeds the buffer limit; its chunks follow. */
  onStreamStart(head: AnswerHead): void;
  /** Returns false to pause the exchange until it is resumed. */
  onChunk(chunk: Uint8Array): boolean;
  onStreamEnd(): void;
  /** No connection could be opened, so nothing was sent; `connectionRefused` means that no process listens at the address. */
  onNotSent(connectionRefused: boolean): void;
  /** The exchange broke, or the answer is malformed. */
  onBroken(): void;
}
