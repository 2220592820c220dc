import type { AnswerHead } from "../../calls/answer_head.ts";
import type { NodeRefusal } from "../../calls/node_refusal.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";

/**
 * Receives the answer to a forwarded call. Each call ends with exactly one of
 * `onCompleteAnswer`, `onStreamEnd`, `onRefused`, `onNotSent` and `onContactLost`.
 */
export interface AnswerReceiver {
  /** The call is being written, or the other node confirms that the call is in progress there. */
  onActivity(): void;
  /** Receives the number of free slots that is reported for the backend server; called before the call ends. */
  onLoad(freeSlots: number): void;
  /** Receives a complete answer that is short enough to be buffered. */
  onCompleteAnswer(answer: StoredAnswer): void;
  /** Receives the head of an answer that is too long to be buffered. */
  onStreamStart(head: AnswerHead): void;
  /** Receives a chunk of a streamed answer; returns false if the sender should pause until it is resumed. */
  onChunk(chunk: Uint8Array): boolean;
  /** The streamed answer is complete. */
  onStreamEnd(): void;
  /** The node beside the backend server refused the call. */
  onRefused(refusal: NodeRefusal): void;
  /** The call was not sent and will not be; `connectionRefused` means that no process listens at the address. */
  onNotSent(connectionRefused: boolean): void;
  /** The connection broke after the call was sent, or the answer is malformed. */
  onContactLost(): void;
}
