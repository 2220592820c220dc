/** What a backend server sends without end. */
export interface EndlessBytes {
  readonly name: string;
  readonly getHead: (call: string) => string;
  readonly part: string;
  readonly intervalMilliseconds?: number;
  /** The complete body that precedes the endless bytes, if there is one. */
  readonly body?: string;
  /** Whether the head states that the call did not run. */
  readonly notRun?: boolean;
}
