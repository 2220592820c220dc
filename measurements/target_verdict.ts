/** The result of comparing a figure with a target. The values appear in the result pages. */
export enum TargetVerdict {
  Met = "met",
  /** Met by a run that is smaller than the size for which the target is stated. */
  MetAtThisSize = "met at this size",
  Missed = "missed",
  /** The run cannot decide, for example because the machine is too noisy. */
  Undecided = "undecided",
}
