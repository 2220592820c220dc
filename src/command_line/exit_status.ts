/** The exit status of a command. */
export enum ExitStatus {
  Success = 0,
  Failure = 1,
  /** Invalid arguments or settings; for `explain` also an unreadable log file. */
  Usage = 2,
}
