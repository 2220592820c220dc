import type { IncomingMessage } from "node:http";
import type { RunCounts } from "./run_counts.ts";

const idempotentMethods = ["GET", "HEAD", "OPTIONS"];

/** Counts that the call has begun to run. */
export function countRun(
  counts: RunCounts,
  request: IncomingMessage,
  token: string,
): void {
  const count = (record: Record<string, number>, name: unknown) => {
    if (typeof name === "string" && name !== "") {
      record[name] = (record[name] ?? 0) + 1;
    }
  };
  const callIdentifier = request.headers["catkinquay-call-identifier"];
  counts.begun += 1;
  count(counts.callIdentifiers, callIdentifier);
  count(counts.keys, request.headers["idempotency-key"]);
  count(counts.tokens, token);
  if (!idempotentMethods.includes(request.method ?? "")) {
    count(counts.nonIdempotentCallIdentifiers, callIdentifier);
  }
}
