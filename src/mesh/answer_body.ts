import type { Readable } from "node:stream";

/** The body of an answer: what has arrived, and the rest where it is too long to hold. */
export interface AnswerBody {
  readonly held: Buffer;
  /** Undefined where `held` is the whole body. */
  readonly rest: Readable | undefined;
  /** Whether its end is known to be its end; otherwise it is passed on as it came, without a length. */
  readonly framed: boolean;
}
