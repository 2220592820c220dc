import { loopback } from "./loopback.ts";

const requestMilliseconds = 2000;

/** Reads a page of an operators' listener on loopback; empty where there was no answer in time. */
export async function requestText(port: number, path: string): Promise<string> {
  try {
    const answer = await fetch(`http://${loopback}:${port}${path}`, {
      signal: AbortSignal.timeout(requestMilliseconds),
    });
    return await answer.text();
  } catch {
    return "";
  }
}
