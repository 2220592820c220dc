import type { Outcome } from "../calls/outcome.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { AnswerBody } from "./answer_body.ts";
import type { CallResultKind } from "./call_result_kind.ts";

/** The response to a caller: the answer of a backend server, or a refusal. */
export type CallResult =
  | {
    readonly kind: CallResultKind.Answered;
    readonly status: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: AnswerBody;
    readonly backendServer: string;
  }
  | {
    readonly kind: CallResultKind.Refused;
    readonly reason: RefusalReason;
    readonly outcome: Outcome;
    readonly retryMilliseconds: number;
  };
