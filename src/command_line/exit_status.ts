/** How a command ended, for the shell. */
export enum ExitStatus {
  Success = 0,
  Failure = 1,
  Usage = 2,
}
