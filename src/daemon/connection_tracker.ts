import type { Socket } from "node:net";

/** Tracks which connections of a listener have a request in progress. */
export interface ConnectionTracker {
  add(socket: Socket): void;
  /** Ends the tracking of a connection that carries no more requests. */
  remove(socket: Socket): void;
  /** Records the start of a request; returns false if the final response was already written to the connection. */
  tryBeginRequest(socket: Socket): boolean;
  endRequest(socket: Socket): void;
  /**
   * Begins no further request of the connection, and runs `action` as soon as at
   * most `requestsMaximum` requests are in progress; immediately if that is so
   * already or the connection has ended.
   */
  closeAtRequestCount(
    socket: Socket,
    options: { readonly requestsMaximum: number; readonly action: () => void },
  ): void;
  /** Closes the connections on which no request began within `milliseconds` of the last one. */
  closeOverdue(milliseconds: number): void;
  /** Writes `finalResponse` to every idle connection, ends its writable side and lets the client close it. */
  closeIdle(finalResponse: string): void;
}
