import { performance } from "node:perf_hooks";
import { createAnswerBody } from "../../stand_ins/common/create_answer_body.ts";
import { InvalidRun } from "../invalid_run.ts";
import type { CallTarget } from "./call_target.ts";

const answerBytes = 500;
const token = "cost";
const expected = createAnswerBody(token, answerBytes);
const okStatus = 200;

/** Sends one call that needs no work and resolves with the time to its whole answer, in milliseconds. */
export async function sendMeasuredCall(target: CallTarget): Promise<number> {
  const startedAt = performance.now();
  const answer = await target.pool.request({
    method: "GET",
    path: `${target.servicePath}?token=${token}&bytes=${answerBytes}&work=0`,
  });
  const body = new Uint8Array(await answer.body.arrayBuffer());
  const elapsed = performance.now() - startedAt;
  if (answer.statusCode !== okStatus || body.length !== expected.length) {
    throw new InvalidRun(
      `a call by "${target.path}" was answered ${answer.statusCode}`,
    );
  }
  return elapsed;
}
