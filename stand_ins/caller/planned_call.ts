import type { CallerService } from "./caller_service.ts";

/** A call as the caller sends it at one attempt. */
export interface PlannedCall {
  readonly service: CallerService;
  /** Identifies the call over all its attempts. */
  readonly token: string;
  /** The idempotency key; undefined if the call has none. */
  readonly key: string | undefined;
  /** 1 for the first attempt. */
  readonly attemptNumber: number;
  /** In milliseconds since the Unix epoch. */
  readonly firstAttemptAt: number;
  /** Index of the node that receives the attempt, in the settings' list. */
  readonly node: number;
  /** Time from sending until the caller abandons the attempt; undefined if it does not. */
  readonly abandonAfterMilliseconds: number | undefined;
}
