/** The caller left or the deadline passed, so the request was given up. */
export class CallCancelledError extends Error {
  override readonly name = "CallCancelledError";

  constructor() {
    super("The call was cancelled");
  }
}
