import type { CallEventKind } from "./call_event_kind.ts";

/** One line of the log on a call. Fields that do not apply are left out. */
export interface CallEvent {
  readonly kind: CallEventKind;
  readonly call: string;
  readonly route?: string;
  readonly service?: string;
  /** The backend server concerned. */
  readonly backendServer?: string;
  readonly status?: number;
  readonly reason?: string;
  readonly outcome?: string;
  /** Backend servers that the call was sent to so far. */
  readonly attempts?: number;
  readonly elapsedMilliseconds?: number;
  /** How long the call waited for a slot. */
  readonly waitedMilliseconds?: number;
  readonly retryMilliseconds?: number;
  /** Version of the rules that decided. */
  readonly rulesVersion?: number;
  /** Since when the source has been sound, as an age; -1 while it is not. */
  readonly sourceSoundMilliseconds?: number;
  readonly running?: number;
  readonly queued?: number;
  readonly slots?: number;
}
