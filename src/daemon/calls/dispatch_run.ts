import type { DispatchEvent } from "../../calls/dispatch_event.ts";
import type { DispatchState } from "../../calls/dispatch_state.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import type { CallsNode } from "./calls_node.ts";
import type { Exchange } from "./exchange.ts";

/** One try under way on the node beside its backend server. */
export interface DispatchRun {
  readonly node: CallsNode;
  readonly call: ForwardedCall;
  readonly attemptIdentifier: string;
  /** Undefined once nobody reads the answer any more. */
  receiver: AnswerReceiver | undefined;
  /** Advances the try and carries out what follows. */
  readonly apply: (event: DispatchEvent) => void;
  state: DispatchState;
  /** With the backend server; undefined before the dispatch. */
  exchange: Exchange | undefined;
  /** The held answer, or the head of a long one. */
  answer: StoredAnswer | undefined;
}
