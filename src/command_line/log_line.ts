/** A line of a node's log on a call. */
export interface LogLine {
  /** In milliseconds since the Unix epoch. */
  readonly time: number;
  readonly vm: string;
  readonly kind: string;
  readonly call: string;
  /** The inputs that decided, and the outcome. */
  readonly details: Readonly<Record<string, unknown>>;
}
