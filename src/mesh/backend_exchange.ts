import type { IncomingMessage } from "node:http";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import type { BackendExchangeKind } from "./backend_exchange_kind.ts";

/**
 * The outcome of an exchange with the backend server of this VM, up to the head
 * of its answer. `found` describes the error.
 */
export type BackendExchange =
  | {
    readonly kind: BackendExchangeKind.Answered;
    readonly answer: IncomingMessage;
    readonly head: BackendAnswerHead;
  }
  | {
    readonly kind:
      | BackendExchangeKind.NotRun
      | BackendExchangeKind.Misdirected;
    readonly head: BackendAnswerHead;
  }
  | {
    readonly kind:
      | BackendExchangeKind.NotConnected
      | BackendExchangeKind.ConnectionRejected
      | BackendExchangeKind.Broken;
    readonly found: string;
  };
