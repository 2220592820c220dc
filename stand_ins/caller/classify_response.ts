import { CallEnding } from "./call_ending.ts";
import type { ReceivedResponse } from "./received_response.ts";

const refusalContentType = "application/problem+json";
const successStatus = 200;

/**
 * Classifies a response of a node. An answer must have the expected body. A
 * refusal must state the same outcome in header and body, and carry
 * `Retry-After`.
 */
export function classifyResponse(
  response: ReceivedResponse,
  expectedBody: Uint8Array,
): { readonly ending: CallEnding; readonly reason: string } {
  const outcome = response.headers["catkinquay-outcome"];
  if (outcome !== undefined) {
    return classifyRefusal(response, String(outcome));
  }
  if (response.status !== successStatus) {
    return { ending: CallEnding.Wrong, reason: `status ${response.status}` };
  }
  return Buffer.compare(response.body, expectedBody) === 0
    ? { ending: CallEnding.Complete, reason: "" }
    : { ending: CallEnding.Wrong, reason: "another answer" };
}

function classifyRefusal(response: ReceivedResponse, outcome: string) {
  const body = tryParseJson(Buffer.from(response.body).toString("utf8"));
  const isWellFormed =
    response.headers["content-type"] === refusalContentType &&
    response.headers["retry-after"] !== undefined &&
    body?.outcome === outcome &&
    ["not-run", "unknown"].includes(outcome);
  if (!isWellFormed) {
    return { ending: CallEnding.Wrong, reason: "malformed refusal" };
  }
  return {
    ending: outcome === "not-run" ? CallEnding.NotRun : CallEnding.Unknown,
    reason: String(body?.reason),
  };
}

function tryParseJson(
  text: string,
): { outcome?: unknown; reason?: unknown } | undefined {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
