import type { DispatchEvent } from "../../calls/dispatch_event.ts";
import type { DispatchState } from "../../calls/dispatch_state.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import type { CallsNode } from "./calls_node.ts";
import type { Exchange } from "./exchange.ts";

/** The state of one attempt in progress on the node beside its backend server. */
export interface DispatchRun {
  readonly node: CallsNode;
  readonly call: ForwardedCall;
  readonly attemptIdentifier: string;
  /** Undefined once the answer is no longer read. */
  receiver: AnswerReceiver | undefined;
  /** Applies an event to the attempt and executes the resulting effects. */
  readonly apply: (event: DispatchEvent) => void;
  state: DispatchState;
  /** The exchange with the backend server; undefined before the dispatch. */
  exchange: Exchange | undefined;
  /** The buffered answer, or the head of a streamed one. */
  answer: StoredAnswer | undefined;
}
