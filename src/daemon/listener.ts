import type { ListenerLimits } from "./listener_limits.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";

/** A bound HTTP listener. */
export interface Listener {
  readonly address: NetworkAddress;
  /** Sets the timeouts for the header of a request and for idle connections. */
  setLimits(limits: ListenerLimits): void;
  /**
   * Stops accepting connections and, once a connection is idle, writes
   * `finalResponse` to it and closes it. Resolves when the last one is closed.
   */
  close(finalResponse: string): Promise<void>;
  /** Stops accepting connections and destroys the open ones immediately. */
  destroy(): void;
}
