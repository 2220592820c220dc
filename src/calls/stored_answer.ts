import type { AnswerHead } from "./answer_head.ts";

/** A whole answer that a node keeps. */
export interface StoredAnswer {
  readonly head: AnswerHead;
  readonly body: Uint8Array;
}
