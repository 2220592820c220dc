import type { Server } from "node:net";
import type { RelayMode } from "./relay_mode.ts";

/** A TCP relay to one target that can cut, reset or delay connections, or silently drop their data. */
export interface Relay {
  readonly server: Server;
  /** Replaces the mode, and applies its `openConnections` once to the connections that are open. */
  setMode(mode: RelayMode): void;
  /** Stops listening and closes every connection. */
  close(): void;
}
