/** Controls an attempt in progress on the node beside its backend server. */
export interface DispatchControl {
  /** Whether the call was received over a connection, rather than in process. */
  readonly remote: boolean;
  /** The connection over which the call was received has closed. */
  onContactLost(): void;
  /** The caller no longer waits for the answer. */
  onCallerLeft(): void;
  /** Another node queries the outcome. */
  onOutcomeQueried(): void;
  /** Resumes a paused answer. */
  resume(): void;
  /** Aborts the attempt because the node stops. */
  stop(): void;
}
