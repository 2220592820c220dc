/** The order in which queued calls are dispatched. */
export enum QueueOrder {
  /** By descending priority, then by deadline. */
  PriorityThenDeadline = "priority-then-deadline",
  /** In order of arrival. A full queue refuses the latest call. */
  FirstInFirstOut = "first-in-first-out",
}
