import type { NetworkAddress } from "../../src/runtime/network_address.ts";

/** A backend server of a soak. */
export interface SoakBackend {
  readonly address: NetworkAddress;
  readonly service: string;
  /** Returns the identifier of the current incarnation. */
  getIdentifier(): string;
  /** Sets whether it cuts some of its answers and sends others twice. */
  setGarbling(garbling: boolean): void;
  /** Closes every connection; accepts none until it is started again. */
  crash(): Promise<void>;
  /** Accepts connections again, as a new incarnation that is cold. */
  start(): Promise<void>;
}
