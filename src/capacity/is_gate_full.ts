import type { GateLoad } from "../balancing/gate_load.ts";
import { isFullReason } from "../balancing/is_full_reason.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { hasRoom } from "./has_room.ts";

/**
 * Whether a refusal tells that other calls would be refused as well. A gate with
 * a free slot refuses a call that it holds back, such as one that may crash the
 * backend server, and admits others.
 */
export function isGateFull(refusal: {
  readonly reason: RefusalReason;
  /** Undefined if the gate did not report it. */
  readonly load: GateLoad | undefined;
}): boolean {
  const { reason, load } = refusal;
  if (reason !== RefusalReason.Full) return isFullReason(reason);
  return load === undefined || !hasRoom(load);
}
