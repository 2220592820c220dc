import type { NetworkAddress } from "../../src/runtime/network_address.ts";

/** A backend server of the soak. */
export interface SoakBackend {
  readonly address: NetworkAddress;
  readonly service: string;
  getIdentifier(): string;
  /** Whether it breaks and doubles some of its answers. */
  setGarbling(garbling: boolean): void;
  /** Ends every connection; nothing is accepted until it is started again. */
  crash(): Promise<void>;
  /** Accepts connections again, as a new incarnation and cold. */
  start(): Promise<void>;
}
