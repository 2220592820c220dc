import { performance } from "node:perf_hooks";
import { createAnswerBody } from "../../stand_ins/common/create_answer_body.ts";
import { InvalidRunError } from "../invalid_run_error.ts";
import type { CallTarget } from "./call_target.ts";

const answerBytes = 500;
const token = "cost";
const expectedBody = createAnswerBody(token, answerBytes);
const okStatus = 200;

/**
 * Sends one call without work and resolves with the time until its complete
 * answer, in milliseconds. Rejects with InvalidRunError on any other response.
 */
export async function sendMeasuredCall(target: CallTarget): Promise<number> {
  const startedAt = performance.now();
  const response = await target.pool.request({
    method: "GET",
    path: `${target.servicePath}?token=${token}&bytes=${answerBytes}&work=0`,
  });
  const body = new Uint8Array(await response.body.arrayBuffer());
  const elapsed = performance.now() - startedAt;
  if (response.statusCode !== okStatus || body.length !== expectedBody.length) {
    throw new InvalidRunError(
      `call on path "${target.path}" returned an unexpected response with status ${response.statusCode}`,
    );
  }
  return elapsed;
}
