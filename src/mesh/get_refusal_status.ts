import { Outcome } from "../calls/outcome.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { refusalTable } from "../calls/refusal_table.ts";

const notRunStatus = 503;
const lostStatus = 502;
const lateStatus = 504;
const serverStatusMinimum = 500;

/**
 * Returns the HTTP status of a refusal. 503 states that the request has not run
 * and never will; 502 and 504 leave that open.
 */
export function getRefusalStatus(
  reason: RefusalReason,
  outcome: Outcome,
): number {
  const { status } = refusalTable[reason];
  if (outcome === Outcome.NotRun) {
    return status >= serverStatusMinimum ? notRunStatus : status;
  }
  return reason === RefusalReason.DeadlinePassed ? lateStatus : lostStatus;
}
