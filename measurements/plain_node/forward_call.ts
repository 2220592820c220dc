import type { IncomingMessage, ServerResponse } from "node:http";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { Outcome } from "../../src/calls/outcome.ts";
import type { BackendServer } from "../../src/configuration/backend_server.ts";
import { sendRefusal } from "./send_refusal.ts";

const shedStatus = 503;

/** Forwards one call to a backend server, without concurrency limit, queue or retry. */
export async function forwardCall(
  request: IncomingMessage,
  response: ServerResponse,
  options: {
    readonly backendServer: BackendServer;
    readonly pools: Map<string, Pool>;
    readonly deadlineMilliseconds: number;
  },
): Promise<void> {
  const callerAbort = new AbortController();
  response.once("close", () => callerAbort.abort());
  const hasBody = request.method !== "GET" && request.method !== "HEAD";
  try {
    const answer = await getPool(options).request({
      method: request.method as Dispatcher.HttpMethod,
      path: request.url ?? "/",
      headers: { "idempotency-key": request.headers["idempotency-key"] ?? "" },
      body: hasBody ? request : null,
      signal: callerAbort.signal,
      headersTimeout: options.deadlineMilliseconds,
    });
    if (answer.statusCode === shedStatus) {
      await answer.body.dump();
      sendRefusal(response, { outcome: Outcome.NotRun, reason: "shed" });
      return;
    }
    const length = answer.headers["content-length"];
    response.writeHead(
      answer.statusCode,
      length === undefined ? {} : { "content-length": String(length) },
    );
    answer.body.on("error", () => response.destroy());
    answer.body.pipe(response);
  } catch (error) {
    sendRefusal(response, {
      outcome: isConnectionRefused(error) ? Outcome.NotRun : Outcome.Unknown,
      reason: "failed",
    });
  }
}

function getPool(
  options: {
    readonly backendServer: BackendServer;
    readonly pools: Map<string, Pool>;
  },
): Pool {
  const { address, connections } = options.backendServer;
  const origin = `http://${address.host}:${address.port}`;
  const pool = options.pools.get(origin) ?? new Pool(origin, { connections });
  options.pools.set(origin, pool);
  return pool;
}

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && "code" in error &&
    error.code === "ECONNREFUSED";
}
