import type { Socket } from "node:net";

/** Counts the bytes of open and closed connections. */
export interface SocketByteCounter {
  /** Adds a connection; all its bytes count, including those already transferred. */
  track(socket: Socket): void;
  getBytesRead(): number;
  getBytesWritten(): number;
}
