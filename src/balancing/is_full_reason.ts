import { RefusalReason } from "../calls/refusal_reason.ts";

/** Whether a refusal says that there is no free slot now, and no more than that. */
export function isFullReason(reason: RefusalReason): boolean {
  return reason === RefusalReason.Full || reason === RefusalReason.ColdStart;
}
