/** What can happen to a try on the node beside its backend server. */
export enum DispatchEventKind {
  Arrived = "arrived",
  /** The ledger lets the call run. */
  KeyAllowed = "key-allowed",
  /** The ledger has the answer of an earlier attempt. */
  KeyAnswered = "key-answered",
  /** The call repeats one that is running, and waits for its end. */
  KeyJoined = "key-joined",
  KeyRefused = "key-refused",
  Admitted = "admitted",
  AdmissionRefused = "admission-refused",
  AnswerWhole = "answer-whole",
  AnswerStreams = "answer-streams",
  StreamEnded = "stream-ended",
  /** The backend server says that it did not begin to run the call. */
  Shed = "shed",
  /** No connection to the backend server could be opened. */
  NotConnected = "not-connected",
  /** The answer was cut or is malformed. */
  Broken = "broken",
  /** The connection over which the call came has closed. */
  ContactLost = "contact-lost",
  /** The caller is known to have left. */
  CallerLeft = "caller-left",
  /** Another node asks for the outcome of this try. */
  Asked = "asked",
  Woke = "woke",
  /** The node ends now. */
  Stopped = "stopped",
}
