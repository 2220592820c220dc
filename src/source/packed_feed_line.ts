/** A compressed line of a feed. */
export interface PackedFeedLine {
  /** The JSON text of the line, compressed with raw DEFLATE (RFC 1951), in base64. */
  readonly packed: string;
}
