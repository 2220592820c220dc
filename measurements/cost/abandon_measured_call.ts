import { wait } from "../wait.ts";
import type { CallTarget } from "./call_target.ts";

const workMilliseconds = 20;
const abandonAfterMilliseconds = 5;

/** Sends one call, aborts it while it runs, and resolves when its work would have ended. */
export async function abandonMeasuredCall(target: CallTarget): Promise<void> {
  const abortController = new AbortController();
  const request = target.pool.request({
    method: "GET",
    path: `${target.servicePath}?token=left&bytes=1&work=${workMilliseconds}`,
    signal: abortController.signal,
  }).then((response) => response.body.dump(), () => undefined);
  await wait(abandonAfterMilliseconds);
  abortController.abort();
  await request;
  await wait(workMilliseconds);
}
