import type { Pool } from "undici";
import { createAnswerBody } from "../common/create_answer_body.ts";
import { CallEnding } from "./call_ending.ts";
import type { CallResult } from "./call_result.ts";
import { getEndingOfFailure } from "./get_ending_of_failure.ts";
import { judgeAnswer } from "./judge_answer.ts";
import type { PlannedCall } from "./planned_call.ts";

/** Sends one attempt and judges what comes back, byte by byte; never rejects. */
export async function sendCall(
  call: PlannedCall,
  options: {
    readonly dispatcher: Pool;
    readonly deadlineMilliseconds: number;
  },
): Promise<CallResult> {
  const sentAt = Date.now();
  const startedAt = performance.now();
  const hangUp = new AbortController();
  const patience = call.patienceMilliseconds === undefined
    ? undefined
    : setTimeout(() => hangUp.abort(), call.patienceMilliseconds);
  const { service, token, key } = call;
  const end = (ending: CallEnding, reason: string): CallResult => {
    clearTimeout(patience);
    return {
      ending,
      reason,
      elapsedMilliseconds: performance.now() - startedAt,
    };
  };
  try {
    const answer = await options.dispatcher.request({
      path: `${service.path}?token=${token}&bytes=${service.bytes}`,
      method: service.method,
      signal: hangUp.signal,
      headers: {
        ...(service.host === undefined ? {} : { host: service.host }),
        "request-deadline": String(sentAt + options.deadlineMilliseconds),
        ...(key === undefined ? {} : {
          "idempotency-key": key,
          "idempotency-attempt": String(call.attempt),
          "idempotency-first-attempt": String(call.firstAttemptAt),
        }),
      },
    });
    const body = new Uint8Array(await answer.body.arrayBuffer());
    const judged = judgeAnswer(
      { status: answer.statusCode, headers: answer.headers, body },
      createAnswerBody(token, service.bytes),
    );
    return end(judged.ending, judged.reason);
  } catch (error) {
    return hangUp.signal.aborted
      ? end(CallEnding.Abandoned, "")
      : end(getEndingOfFailure(error), getFailureCode(error));
  }
}

function getFailureCode(error: unknown): string {
  return error instanceof Error && "code" in error
    ? String(error.code)
    : String(error);
}
