import type { CallerAnswer } from "./caller_answer.ts";

/** Returns the parts of a problem document that tests compare. */
export function getRefusal(answer: CallerAnswer): {
  readonly outcome: string;
  readonly reason: string;
  readonly status: number;
} {
  const { outcome, reason, status } = JSON.parse(answer.body);
  return { outcome, reason, status };
}
