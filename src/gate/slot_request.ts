/** A call that asks for a slot of the backend server. */
export interface SlotRequest {
  readonly callIdentifier: string;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Until when an answer has its full worth, in milliseconds since the Unix epoch. */
  readonly goalDeadline: number;
  /** When the caller is answered at the latest, in milliseconds since the Unix epoch. */
  readonly deadline: number;
  /** Until when the call may wait for a slot; an earlier instant than now asks for a slot at once. */
  readonly waitDeadline: number;
  /** Whether its caller can try again after a refusal. */
  readonly mayComeBack: boolean;
}
