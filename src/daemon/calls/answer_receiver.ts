import type { AnswerHead } from "../../calls/answer_head.ts";
import type { NodeRefusal } from "../../calls/node_refusal.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";

/** Where the answer to a handed-over call goes; each call gets one end. */
export interface AnswerReceiver {
  /** The call is being written, or the other node shows that it holds it. */
  onSign(): void;
  /** The backend server's free slots; comes before any of the ends. */
  onLoad(freeSlots: number): void;
  /** The whole answer, where it is short enough to be held. */
  onWhole(answer: StoredAnswer): void;
  /** The beginning of an answer that is too long to be held. */
  onStream(head: AnswerHead): void;
  /** A piece of a long answer; returns false where the sender should pause until `onReady`. */
  onPiece(piece: Uint8Array): boolean;
  /** The long answer is whole. */
  onStreamEnd(): void;
  /** The node beside the backend server refused. */
  onRefused(refusal: NodeRefusal): void;
  /** The call was not sent and will not be; `refused` where no process listens there. */
  onNotSent(refused: boolean): void;
  /** The connection broke after the call was sent, or the answer is malformed. */
  onLost(): void;
}
