import type { CallerResponse } from "./caller_response.ts";

/** Returns the members of a problem document that tests compare. */
export function getRefusal(response: CallerResponse): {
  readonly outcome: string;
  readonly reason: string;
  readonly status: number;
} {
  const { outcome, reason, status } = JSON.parse(response.body);
  return { outcome, reason, status };
}
