import type { ListenerLimits } from "./listener_limits.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";

/** A bound HTTP listener. */
export interface Listener {
  readonly address: NetworkAddress;
  /** Bounds how long a client may take to send a request's head, and stay idle. */
  setLimits(limits: ListenerLimits): void;
  /**
   * Stops accepting connections, and closes each one once it is idle, after
   * writing `finalAnswer` to it; resolves when the last one is closed.
   */
  close(finalAnswer: string): Promise<void>;
  /** Destroys every connection at once. */
  destroy(): void;
}
