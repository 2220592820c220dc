/** When the node next speaks to a peer of its own accord. */
export interface ExchangeState {
  readonly nextExchangeAt: number;
  /** When this node last heard from any peer. */
  readonly heardAt: number;
  /** The earliest instant of the next comparison of all records with a peer. */
  readonly nextReconcileAt: number;
}
