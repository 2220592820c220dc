/** Events of an attempt on the node beside its backend server. */
export enum DispatchEventKind {
  Arrived = "arrived",
  /** The ledger allows the call to run. */
  KeyAllowed = "key-allowed",
  /** The ledger has the answer of an earlier attempt with the key. */
  KeyAnswered = "key-answered",
  /** The call repeats a running one and waits for its end. */
  KeyJoined = "key-joined",
  KeyRefused = "key-refused",
  Admitted = "admitted",
  AdmissionRefused = "admission-refused",
  AnswerCompleted = "answer-completed",
  StreamStarted = "stream-started",
  StreamEnded = "stream-ended",
  /** The backend server shed the call: it reports that it did not begin to run it. */
  Shed = "shed",
  /** No connection to the backend server could be opened. */
  NotConnected = "not-connected",
  /** The answer was truncated or is malformed. */
  Broken = "broken",
  /** The connection on which the call was received has closed. */
  ContactLost = "contact-lost",
  /** The caller has left. */
  CallerLeft = "caller-left",
  /** Another node queried the outcome of this attempt. */
  OutcomeQueried = "outcome-queried",
  TimerFired = "timer-fired",
  /** The node process is stopping. */
  Stopped = "stopped",
}
