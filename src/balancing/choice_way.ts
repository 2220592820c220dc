/** How the candidate for an offer was chosen. */
export enum ChoiceWay {
  /** The backend server of this VM, without a look at others. */
  Own = "own",
  /** The best of a random sample. */
  Sample = "sample",
  /** The best of all, where they are few or samples had no usable candidate. */
  All = "all",
  /** The shortest expected wait, after gates without a free slot. */
  Wait = "wait",
}
