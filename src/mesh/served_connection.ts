/** An offer connection of another node to this one. */
export interface ServedConnection {
  /** Asks the other node to send no further offers on it and to close it. */
  announceStop(): void;
  destroy(): void;
}
