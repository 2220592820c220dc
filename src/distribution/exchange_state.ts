/**
 * The schedule of exchanges with peers. Instants are in milliseconds since the
 * Unix epoch.
 */
export interface ExchangeState {
  readonly nextExchangeAt: number;
  /** When this node last received an exchange message from any peer. */
  readonly heardAt: number;
  /** The earliest instant of the next comparison of all records with a peer. */
  readonly nextReconcileAt: number;
}
