/** Options of a read of the whole source. */
export interface SourceReadOptions {
  /** Called when a response has begun and takes long to arrive, possibly more than once. */
  readonly onSlow?: () => void;
}
