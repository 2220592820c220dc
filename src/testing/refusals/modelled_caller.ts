/** A modelled node that offers one non-idempotent call of its caller. */
export interface ModelledCaller {
  /** Returns the status that the caller was told; undefined while it has none. */
  getStatus(): number | undefined;
  /** The deadline passes, or the caller leaves. */
  cancel(): void;
  /** The node withdraws its offers at the end of a stop. */
  stop(): void;
  /** The connection of the offer in progress ends without a reply. */
  loseConnection(): void;
}
