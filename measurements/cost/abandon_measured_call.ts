import { wait } from "../wait.ts";
import type { CallTarget } from "./call_target.ts";

const workMilliseconds = 20;
const patienceMilliseconds = 5;

/** Sends one call, hangs up while it runs, and resolves once its work would have ended. */
export async function abandonMeasuredCall(target: CallTarget): Promise<void> {
  const hangUp = new AbortController();
  const request = target.pool.request({
    method: "GET",
    path: `${target.servicePath}?token=left&bytes=1&work=${workMilliseconds}`,
    signal: hangUp.signal,
  }).then((answer) => answer.body.dump(), () => undefined);
  await wait(patienceMilliseconds);
  hangUp.abort();
  await request;
  await wait(workMilliseconds);
}
