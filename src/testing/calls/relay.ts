import type { NetworkAddress } from "../../runtime/network_address.ts";

/** Passes connections on to a listener, until it is told to misbehave. */
export interface Relay {
  readonly address: NetworkAddress;
  /** Connections that are open now pass nothing any more, and are not closed; new ones work. */
  silence(): void;
  /** Open and new connections pass requests but no answers. */
  swallowAnswers(): void;
  /** Open and new connections are closed as soon as an answer comes. */
  cutAnswers(): void;
  /** Open and new connections keep requests back until `release`. */
  holdRequests(): void;
  /** Passes the requests that were kept back. */
  release(): void;
  close(): Promise<void>;
}
