import { loopback } from "./loopback.ts";

const requestTimeoutMilliseconds = 2000;

/** Reads a page of an operators' listener on loopback; resolves with an empty string if no response arrives before the timeout. */
export async function requestText(port: number, path: string): Promise<string> {
  try {
    const response = await fetch(`http://${loopback}:${port}${path}`, {
      signal: AbortSignal.timeout(requestTimeoutMilliseconds),
    });
    return await response.text();
  } catch {
    return "";
  }
}
