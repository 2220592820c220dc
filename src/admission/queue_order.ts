/** Which queued call goes first. */
export enum QueueOrder {
  /** The highest priority, then the earliest deadline. */
  PriorityThenDeadline = "priority-then-deadline",
  /** The earliest arrival; a full queue refuses the latest. */
  FirstCome = "first-come",
}
