/** Receives what another node sends for one offer. */
export interface OfferReceiver {
  onConfirmation(): void;
  onReply(payload: Buffer): void;
  onData(bytes: Buffer): void;
  onEnd(): void;
  /** The answer broke off, or the connection has ended. */
  onBreak(): void;
}
