import type { IncomingMessage } from "node:http";
import type { RunCounts } from "./run_counts.ts";

const idempotentMethods = ["GET", "HEAD", "OPTIONS"];

/** Counts a call that starts to run under each of its identifiers. */
export function countRun(
  counts: RunCounts,
  request: IncomingMessage,
  token: string,
): void {
  const increment = (counters: Record<string, number>, key: unknown) => {
    if (typeof key === "string" && key !== "") {
      counters[key] = (counters[key] ?? 0) + 1;
    }
  };
  const callIdentifier = request.headers["catkinquay-call-identifier"];
  counts.begun += 1;
  increment(counts.callIdentifiers, callIdentifier);
  increment(counts.keys, request.headers["idempotency-key"]);
  increment(counts.tokens, token);
  if (!idempotentMethods.includes(request.method ?? "")) {
    increment(counts.nonIdempotentCallIdentifiers, callIdentifier);
  }
}
