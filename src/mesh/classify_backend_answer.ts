import type { BackendAnswerHead } from "./backend_answer_head.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import { isFinalStatus } from "../calls/is_final_status.ts";

const successStatusMinimum = 200;
const successStatusMaximum = 299;

/**
 * Classifies the answer of a backend server to one attempt of a call. An answer
 * that names another call is broken, and so is one whose status is not defined,
 * whatever it states, and a success that does not name this call, is not signed or
 * has a content encoding.
 */
export function classifyBackendAnswer(
  status: number,
  options: {
    readonly head: BackendAnswerHead;
    readonly callIdentifier: string;
  },
) {
  const { head, callIdentifier } = options;
  if (!isFinalStatus(status)) return BackendExchangeKind.Broken;
  const isForOtherCall = head.callIdentifier !== undefined &&
    head.callIdentifier !== callIdentifier;
  if (isForOtherCall) return BackendExchangeKind.Broken;
  if (head.misdirected) return BackendExchangeKind.Misdirected;
  if (head.notRun) return BackendExchangeKind.NotRun;
  const isSuccess = status >= successStatusMinimum &&
    status <= successStatusMaximum;
  const isTrusted = head.signed && head.callIdentifier === callIdentifier &&
    !head.encoded;
  return isSuccess && !isTrusted
    ? BackendExchangeKind.Broken
    : BackendExchangeKind.Answered;
}
