import type { AnswerHead } from "./answer_head.ts";

/** A complete answer that a node stores. */
export interface StoredAnswer {
  readonly head: AnswerHead;
  readonly body: Uint8Array;
}
