/** What the nodes that grant tokens of one organisation may grant. */
export interface QuotaLimits {
  /** The rate of the established owner. */
  readonly callsPerSecond: number;
  /** Capacity of the bucket of the established owner. */
  readonly capacityCalls: number;
  /** The rate of a node that grants in place of an established owner. */
  readonly reducedCallsPerSecond: number;
  /** Capacity of the bucket of such a node. */
  readonly reducedCapacityCalls: number;
}
