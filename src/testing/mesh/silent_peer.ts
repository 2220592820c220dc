import type { Socket } from "node:net";

/** A peer that accepts connections and sends nothing of its own accord. */
export interface SilentPeer {
  /** Identifier of the backend server that it is registered beside. */
  readonly identifier: string;
  /** Connections on which the offer of a call arrived. */
  readonly offers: readonly Socket[];
  /** Number of connections accepted. */
  readonly connections: number;
  /** Answers the first offer as the node beside a backend server would. */
  answerFirstOffer(body: string): void;
  /** Closes the listener; open connections stay open. */
  stopListening(): void;
  close(): void;
}
