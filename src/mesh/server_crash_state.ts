/** The state of the detection of crashes of this VM's backend server. Mutable. */
export interface ServerCrashState {
  /** The check that runs at present; undefined if none does. */
  check: Promise<boolean> | undefined;
  /** When the last crash was recorded, in milliseconds since the Unix epoch. */
  recordedAt: number;
}
