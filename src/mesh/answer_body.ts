import type { Readable } from "node:stream";

/**
 * The body of an answer: the bytes received so far, and a stream of the rest if
 * the body is too large to buffer.
 */
export interface AnswerBody {
  /** The bytes received so far. */
  readonly held: Buffer;
  /** Undefined if `held` contains the complete body. */
  readonly rest: Readable | undefined;
  /**
   * Whether the end of the body can be recognised. If not, the body is
   * forwarded without a length.
   */
  readonly framed: boolean;
}
