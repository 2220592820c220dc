/** What the operators demand of how soon a node follows the source. */
export interface SourceBounds {
  /** Within this time after its acknowledgement a change must be in force. */
  readonly changeMilliseconds: number;
  /** After a disturbance of its connections a node is bound again within this time. */
  readonly contactMilliseconds: number;
}
