import { RefusalReason } from "../calls/refusal_reason.ts";

/** Whether a refusal means only that no slot is free now; the gate is open. */
export function isFullReason(reason: RefusalReason): boolean {
  return reason === RefusalReason.Full ||
    reason === RefusalReason.ColdStart ||
    reason === RefusalReason.RateLimited;
}
