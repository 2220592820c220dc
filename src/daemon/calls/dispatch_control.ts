/** A try under way on the node beside its backend server. */
export interface DispatchControl {
  /** Whether the call came over a connection. */
  readonly remote: boolean;
  /** The connection over which the call came has closed. */
  contactLost(): void;
  /** The caller is known to have left. */
  callerLeft(): void;
  /** Another node asks for the outcome. */
  asked(): void;
  /** Lets a paused answer go on. */
  resume(): void;
  /** Cuts the try because the node ends. */
  stop(): void;
}
