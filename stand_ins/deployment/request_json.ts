import { loopback } from "./loopback.ts";

const requestMilliseconds = 2000;

/** Sends a control or operator request on loopback; undefined where there was no JSON answer in time. */
export async function requestJson<Answer>(
  port: number,
  path: string,
  body?: string,
): Promise<Answer | undefined> {
  try {
    const answer = await fetch(`http://${loopback}:${port}${path}`, {
      ...(body === undefined ? {} : { method: "PUT", body }),
      signal: AbortSignal.timeout(requestMilliseconds),
    });
    return await answer.json() as Answer;
  } catch {
    return undefined;
  }
}
