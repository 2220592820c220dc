import type { AnswerHead } from "../../calls/answer_head.ts";

type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Callbacks of an answer collector; exactly one of the ends is called, unless the exchange is cancelled. */
export interface AnswerCollectorEvents {
  /** The request is about to be written; cancelling now keeps it from being sent. */
  onStart(): void;
  /** An interim response (status 1xx) was received. */
  onInterimResponse(): void;
  /** The head was received; false rejects the answer as malformed. */
  onHead(head: AnswerHead, headers: ParsedHeaders): boolean;
  onComplete(head: AnswerHead, body: Uint8Array): void;
  /** The answer exceeds the buffer limit; its chunks follow. */
  onStreamStart(head: AnswerHead): void;
  /** False pauses the exchange until it is resumed. */
  onChunk(chunk: Uint8Array): boolean;
  onStreamEnd(): void;
  /** No connection could be opened, nothing was sent; `connectionRefused` if no process listens there. */
  onNotSent(connectionRefused: boolean): void;
  /** The exchange broke, or the answer is malformed. */
  onBroken(): void;
}
