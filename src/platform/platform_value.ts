/** A value of the platform's configuration service. */
export interface PlatformValue {
  /** Incremented by the platform with every write; unrelated to the operators' version number. */
  readonly revision: number;
  /** The text that the operators published. */
  readonly text: string;
}
