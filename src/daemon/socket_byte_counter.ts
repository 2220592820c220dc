import type { Socket } from "node:net";

/** Counts the bytes of connections, those still open with the rest. */
export interface SocketByteCounter {
  /** Counts a connection from its first byte on. */
  track(socket: Socket): void;
  getBytesRead(): number;
  getBytesWritten(): number;
}
