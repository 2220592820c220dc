/** A function in a processor profile. */
export interface ProfileFrame {
  readonly functionName: string;
  /** Path of the script; empty for native code. */
  readonly url: string;
  /** Line of the function's start, from 0. */
  readonly lineNumber: number;
}
