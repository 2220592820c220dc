/** The exit status of a command. */
export enum ExitStatus {
  Success = 0,
  Failure = 1,
  Usage = 2,
}
