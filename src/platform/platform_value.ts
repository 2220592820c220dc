/** A value of the platform's configuration service. */
export interface PlatformValue {
  /** Raised by the platform with every write; says nothing about the operators' version number. */
  readonly revision: number;
  /** The text that the operators published. */
  readonly text: string;
}
