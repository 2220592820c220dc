/** How a figure compares with the target that the users stated. */
export enum TargetVerdict {
  Met = "met",
  Missed = "missed",
  /** The run cannot decide it, for example because the machine is too noisy. */
  Undecided = "undecided",
}
