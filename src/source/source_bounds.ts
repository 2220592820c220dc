/** The operators' bounds on how soon a node applies changes of the source. */
export interface SourceBounds {
  /** Time after its acknowledgement within which a change must be in force. */
  readonly changeMilliseconds: number;
  /** Time after a disturbance of a node's connections within which `changeMilliseconds` applies again. */
  readonly contactMilliseconds: number;
  /**
   * Time after its withdrawal from which every node refuses an API key, also one
   * without contact to the source; absent if this binds only nodes in contact.
   */
  readonly withdrawalMilliseconds?: number;
}
