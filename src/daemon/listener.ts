import type { NetworkAddress } from "../runtime/network_address.ts";

/** A bound HTTP listener. */
export interface Listener {
  readonly address: NetworkAddress;
  /** Stops accepting connections and closes idle ones; resolves when the last one is closed. */
  close(): Promise<void>;
  /** Destroys every connection at once. */
  destroy(): void;
}
