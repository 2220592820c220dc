import { request } from "undici";
import type { BenchNode } from "./bench_node.ts";
import type { CallerResponse } from "./caller_response.ts";

/** Sends one call to the callers' listener of a node and reads the complete response. */
export async function callNode(
  node: BenchNode,
  path: string,
  options: {
    readonly method?: "GET" | "POST" | "HEAD";
    readonly headers?: Record<string, string>;
    readonly body?: string;
    readonly signal?: AbortSignal;
  } = {},
): Promise<CallerResponse> {
  const { host, port } = node.callers;
  const response = await request(`http://${host}:${port}${path}`, {
    method: options.method ?? "GET",
    headers: options.headers ?? {},
    body: options.body ?? null,
    ...(options.signal === undefined ? {} : { signal: options.signal }),
  });
  return {
    status: response.statusCode,
    headers: response.headers,
    body: await response.body.text(),
  };
}
