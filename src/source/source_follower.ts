/** Follows the source until it is stopped. */
export interface SourceFollower {
  stop(): void;
}
