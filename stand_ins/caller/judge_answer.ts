import { CallEnding } from "./call_ending.ts";
import type { ReceivedAnswer } from "./received_answer.ts";

const refusalType = "application/problem+json";
const successStatus = 200;

/** Compares an answer with the expected body; a refusal must say its outcome alike in header and body, and when to come back. */
export function judgeAnswer(
  answer: ReceivedAnswer,
  expected: Uint8Array,
): { readonly ending: CallEnding; readonly reason: string } {
  const outcome = answer.headers["catkinquay-outcome"];
  if (outcome !== undefined) {
    return judgeRefusal(answer, String(outcome));
  }
  if (answer.status !== successStatus) {
    return { ending: CallEnding.Wrong, reason: `status ${answer.status}` };
  }
  return Buffer.compare(answer.body, expected) === 0
    ? { ending: CallEnding.Whole, reason: "" }
    : { ending: CallEnding.Wrong, reason: "another answer" };
}

function judgeRefusal(answer: ReceivedAnswer, outcome: string) {
  const body = tryParse(Buffer.from(answer.body).toString("utf8"));
  const honest = answer.headers["content-type"] === refusalType &&
    answer.headers["retry-after"] !== undefined && body?.outcome === outcome &&
    ["not-run", "unknown"].includes(outcome);
  if (!honest) {
    return { ending: CallEnding.Wrong, reason: "malformed refusal" };
  }
  return {
    ending: outcome === "not-run" ? CallEnding.NotRun : CallEnding.Unknown,
    reason: String(body?.reason),
  };
}

function tryParse(
  text: string,
): { outcome?: unknown; reason?: unknown } | undefined {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
