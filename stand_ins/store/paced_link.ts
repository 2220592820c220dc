import type { NetworkAddress } from "../../src/runtime/network_address.ts";

/** A running link of limited bandwidth. */
export interface PacedLink {
  readonly address: NetworkAddress;
  close(): void;
}
