import type { Server } from "node:net";
import type { RelayMode } from "./relay_mode.ts";

/** A TCP relay to one target that can lose track of connections. */
export interface Relay {
  readonly server: Server;
  setMode(mode: RelayMode): void;
  /** Ends every connection. */
  close(): void;
}
