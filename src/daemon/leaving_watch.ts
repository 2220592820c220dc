/** Polls whether the platform lists this VM as leaving. */
export interface LeavingWatch {
  start(): void;
  stop(): void;
}
