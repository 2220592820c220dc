import type { ServerDeparture } from "../register/server_departure.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";
import type { RunningCall } from "./running_call.ts";
import type { ServerCondition } from "./server_condition.ts";
import type { StatedLimit } from "./stated_limit.ts";
import type { TokenBucket } from "./token_bucket.ts";

/** The mutable state of the gate of one backend server, kept by the node beside it. */
export interface GateState {
  /** Requests that were running when backend servers crashed, by fingerprint. */
  readonly suspects: ReadonlyMap<string, unknown>;
  /** The most calls that may run at the backend server at once. */
  slots: number;
  condition: ServerCondition;
  /** Reason for which new calls are refused; undefined while the gate is open. */
  closedReason: RefusalReason | undefined;
  /** End of the cold start, in milliseconds since the Unix epoch; 0 for none. */
  coldUntil: number;
  /** Rate limit in cold start. */
  readonly coldBucket: TokenBucket;
  /** Rate limit that the backend server states in its answers. */
  statedLimit: StatedLimit;
  /** The incarnation that states that it is about to leave; undefined if none does. */
  departure: ServerDeparture | undefined;
  /** Start of the incarnation in the register, in milliseconds since the Unix epoch; 0 if unknown. */
  bornAt: number;
  /** Calls that occupy a slot, by offer identifier. */
  readonly running: Map<string, RunningCall>;
  /** Calls that wait for a slot, sorted when the queue is processed; new calls are appended. */
  queue: QueuedSlotRequest[];
  /** Since when calls have been queued without a break, in milliseconds since the Unix epoch; infinity while none is. */
  queuedSince: number;
  /** When a nested call requested a slot last, in milliseconds since the Unix epoch; 0 for never. */
  nestedRequestAt: number;
  /** When the backend server made a nested call last, in milliseconds since the Unix epoch; 0 for never. */
  nestedCallAt: number;
  /** Moving average of the time for which a call occupies its slot, over all routes. */
  serviceMilliseconds: number;
  /** The same average by route name. */
  readonly serviceMillisecondsByRoute: Map<string, number>;
}
