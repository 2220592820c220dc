import { loopback } from "./loopback.ts";

const requestTimeoutMilliseconds = 2000;

/** Sends a control or operator request on loopback, PUT if there is a body; resolves with undefined if no JSON response arrives before the timeout. */
export async function requestJson<ResponseBody>(
  port: number,
  path: string,
  body?: string,
): Promise<ResponseBody | undefined> {
  try {
    const response = await fetch(`http://${loopback}:${port}${path}`, {
      ...(body === undefined ? {} : { method: "PUT", body }),
      signal: AbortSignal.timeout(requestTimeoutMilliseconds),
    });
    return await response.json() as ResponseBody;
  } catch {
    return undefined;
  }
}
