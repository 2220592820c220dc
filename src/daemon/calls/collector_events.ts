import type { AnswerHead } from "../../calls/answer_head.ts";

type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What a collector reports of one exchange; exactly one of the ends comes, unless it is cancelled. */
export interface CollectorEvents {
  /** The request is about to be written; cancelling now keeps it from being sent. */
  onStart(): void;
  /** An interim answer (status 1xx) came. */
  onSign(): void;
  /** The head came; false makes the answer count as malformed. */
  onHead(head: AnswerHead, headers: ParsedHeaders): boolean;
  onWhole(head: AnswerHead, body: Uint8Array): void;
  onStream(head: AnswerHead): void;
  onPiece(piece: Uint8Array): boolean;
  onStreamEnd(): void;
  /** No connection could be opened, nothing was sent; `refused` where no process listens there. */
  onNotSent(refused: boolean): void;
  /** The exchange broke, or the answer is malformed. */
  onBroken(): void;
}
