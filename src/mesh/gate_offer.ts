/** A call as it is offered to the node beside a backend server. Instants are in milliseconds since the Unix epoch. */
export interface GateOffer {
  readonly callIdentifier: string;
  readonly service: string;
  /** The incarnation that is meant. */
  readonly identifier: string;
  readonly callerService: string;
  readonly route: string;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly deadline: number;
  /** Until when an answer has its full worth. */
  readonly goalDeadline: number;
  /** Until when the call may wait for a slot. */
  readonly waitDeadline: number;
  /** Whether the caller can try again after a refusal. */
  readonly mayComeBack: boolean;
}
