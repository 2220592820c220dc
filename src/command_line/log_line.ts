/** A line in the log of a node that concerns a call. */
export interface LogLine {
  /** When the line was written, in milliseconds since the Unix epoch. */
  readonly time: number;
  readonly vm: string;
  readonly kind: string;
  /** The call identifier. */
  readonly call: string;
  /** The other fields of the line: the inputs of the decision and its outcome. */
  readonly details: Readonly<Record<string, unknown>>;
}
