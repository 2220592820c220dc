/** An offer between nodes. Spans instead of instants, since the clocks of two VMs differ. */
export interface OfferMessage {
  readonly call: string;
  readonly service: string;
  readonly identifier: string;
  readonly callerService: string;
  readonly route: string;
  readonly idempotent: boolean;
  readonly priority: number;
  readonly remainingMilliseconds: number;
  /** Negative where the goal was missed. */
  readonly goalMilliseconds: number;
  /** Negative where the call must not wait. */
  readonly waitMilliseconds: number;
  readonly mayComeBack: boolean;
}
