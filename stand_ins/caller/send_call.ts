import type { Pool } from "undici";
import { createAnswerBody } from "../common/create_answer_body.ts";
import { CallEnding } from "./call_ending.ts";
import type { CallResult } from "./call_result.ts";
import { getEndingOfError } from "./get_ending_of_error.ts";
import { classifyResponse } from "./classify_response.ts";
import type { PlannedCall } from "./planned_call.ts";

/** Sends one attempt and compares the response byte by byte with the expected one; never rejects. */
export async function sendCall(
  call: PlannedCall,
  options: {
    readonly dispatcher: Pool;
    readonly deadlineMilliseconds: number;
  },
): Promise<CallResult> {
  const sentAt = Date.now();
  const startedAt = performance.now();
  const abortController = new AbortController();
  const abandonTimer = call.abandonAfterMilliseconds === undefined
    ? undefined
    : setTimeout(() => abortController.abort(), call.abandonAfterMilliseconds);
  const { service, token, key } = call;
  const createResult = (ending: CallEnding, reason: string): CallResult => {
    clearTimeout(abandonTimer);
    return {
      ending,
      reason,
      elapsedMilliseconds: performance.now() - startedAt,
    };
  };
  try {
    const response = await options.dispatcher.request({
      path: `${service.path}?token=${token}&bytes=${service.bytes}`,
      method: service.method,
      signal: abortController.signal,
      headers: {
        ...(service.host === undefined ? {} : { host: service.host }),
        "request-deadline": String(sentAt + options.deadlineMilliseconds),
        ...(key === undefined ? {} : {
          "idempotency-key": key,
          "idempotency-attempt": String(call.attemptNumber),
          "idempotency-first-attempt": String(call.firstAttemptAt),
        }),
      },
    });
    const body = new Uint8Array(await response.body.arrayBuffer());
    const classification = classifyResponse(
      { status: response.statusCode, headers: response.headers, body },
      createAnswerBody(token, service.bytes),
    );
    return createResult(classification.ending, classification.reason);
  } catch (error) {
    return abortController.signal.aborted
      ? createResult(CallEnding.Abandoned, "")
      : createResult(getEndingOfError(error), getErrorCode(error));
  }
}

function getErrorCode(error: unknown): string {
  return error instanceof Error && "code" in error
    ? String(error.code)
    : String(error);
}
