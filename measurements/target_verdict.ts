/** How a figure compares with the target that the users stated. */
export enum TargetVerdict {
  Met = "met",
  /** Met by a run that is smaller than the size for which the target is stated. */
  MetAtThisSize = "met at this size",
  Missed = "missed",
  /** The run cannot decide it, for example because the machine is too noisy. */
  Undecided = "undecided",
}
