/** How a node chooses among the backend servers that may take a call. */
export enum ChoicePolicy {
  /** The one with more free slots of two drawn at random, the own zone first while it has room. */
  TwoChoicesByFreeSlots = "two-choices-by-free-slots",
  /** One drawn at random over all zones: the baseline for measurements. */
  Random = "random",
}
