import type { NetworkAddress } from "../../src/runtime/network_address.ts";

/** A backend server of a soak. */
export interface SoakBackend {
  readonly address: NetworkAddress;
  /** Returns the service of the current incarnation. */
  getService(): string;
  /** Returns the identifier of the current incarnation. */
  getIdentifier(): string;
  /** Sets whether it truncates some of its answers and sends a further response after others. */
  setGarbling(garbling: boolean): void;
  /** Sets the calls a second that it states to take; undefined for no limit. */
  setLimit(callsPerSecond: number | undefined): void;
  /** States in all answers that it is about to leave, until it starts again. */
  leave(): void;
  /** Closes every connection; accepts none until it is started again. */
  crash(): Promise<void>;
  /** Accepts connections again, as a new incarnation that is cold. */
  start(): Promise<void>;
  /** Ends the backend server; one of another service has its address as soon as that is allowed, unless the own one is back by then. */
  giveAddressTo(service: string): Promise<void>;
  /** Closes every connection, and is not started again. */
  close(): Promise<void>;
}
