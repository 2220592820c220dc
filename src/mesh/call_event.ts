import type { CallEventKind } from "./call_event_kind.ts";

/** A log line about a call. Fields that do not apply are omitted. */
export interface CallEvent {
  readonly kind: CallEventKind;
  /** Identifier of the call. */
  readonly call: string;
  readonly route?: string;
  readonly service?: string;
  /** Name of the caller's organisation. */
  readonly organisation?: string;
  /** Identifier of the backend server. */
  readonly backendServer?: string;
  readonly status?: number;
  readonly reason?: string;
  readonly outcome?: string;
  /** Why contact was lost after the call had been sent. */
  readonly cause?: string;
  /** Whether the caller or the node that offered the call ended the exchange. */
  readonly cancelled?: boolean;
  /** Number of attempts so far, each to one backend server. */
  readonly attempts?: number;
  readonly elapsedMilliseconds?: number;
  /** Time that the call waited for a slot. */
  readonly waitedMilliseconds?: number;
  /** The shortest known wait for a slot. */
  readonly waitMilliseconds?: number;
  readonly retryMilliseconds?: number;
  /** Whether a backend server made the call for a call that it ran. */
  readonly nested?: boolean;
  /** Version of the rules in force when the decision was made. */
  readonly rulesVersion?: number;
  /**
   * Time for which the source has responded without a failure; -1 while it does
   * not.
   */
  readonly sourceSoundMilliseconds?: number;
  readonly running?: number;
  readonly queued?: number;
  readonly slots?: number;
}
