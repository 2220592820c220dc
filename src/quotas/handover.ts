/** How a node that is the owner by its view becomes the established one. */
export interface Handover {
  /** The hosts that may be established in the view of other nodes; all have to reply. */
  readonly hosts: readonly string[];
  /** Whether they also have to state that they were established themselves. */
  readonly needsRelease: boolean;
}
