/**
 * An offer between nodes. Times are durations instead of instants, since the
 * clocks of two VMs differ.
 */
export interface OfferMessage {
  /** Identifier of the call. */
  readonly call: string;
  /** Identifier of the offer. Nodes of earlier versions do not send it. */
  readonly offer?: string;
  readonly service: string;
  /** Identifier of the intended incarnation of the backend server. */
  readonly identifier: string;
  /** The service of the backend server beside the sending node. */
  readonly callerService: string;
  /** Name of the caller's organisation; absent if there is none. */
  readonly organisation?: string;
  /** Name of the route. */
  readonly route: string;
  readonly idempotent: boolean;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Time until the deadline of the call. */
  readonly remainingMilliseconds: number;
  /** Time left to meet the latency goal; negative if it was missed. */
  readonly goalMilliseconds: number;
  /** Time that the call may wait for a slot; negative if it must not wait. */
  readonly waitMilliseconds: number;
  /** Whether the caller can retry after a refusal. */
  readonly mayComeBack: boolean;
  /**
   * The caller for which room is shared out, by default `callerService`. Nodes of
   * earlier versions do not send it.
   */
  readonly share?: string;
  /**
   * Whether a backend server makes the call for a call that it runs. Nodes of
   * earlier versions do not send it.
   */
  readonly nested?: boolean;
  /**
   * The most calls a second that the backend server stated to take, as far as
   * the sending node knows.
   */
  readonly callsPerSecondLimit?: number;
}
