import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";
import type { RunningCall } from "./running_call.ts";
import type { ServerCondition } from "./server_condition.ts";

/** The admission of one backend server, held by the node beside it. Changed in place. */
export interface GateState {
  slots: number;
  condition: ServerCondition;
  /** Why nothing new is admitted; undefined while the gate is open. */
  closedFor: RefusalReason | undefined;
  /** End of the cold start, in milliseconds since the Unix epoch; 0 for none. */
  coldUntil: number;
  /** Requests a second that the backend server gets in cold start. */
  coldCallsPerSecond: number;
  /** Requests that it may get at once after a pause in cold start. */
  coldBurstCalls: number;
  /** Requests that may be sent at once in cold start; fractions build up with time. */
  coldTokens: number;
  /** When `coldTokens` was last brought up to date, in milliseconds since the Unix epoch. */
  coldTokensAt: number;
  /** By call identifier. */
  readonly running: Map<string, RunningCall>;
  queue: QueuedSlotRequest[];
  /** Moving average of the time that a call holds its slot. */
  serviceMilliseconds: number;
  /** The same by route. */
  readonly routeMilliseconds: Map<string, number>;
}
