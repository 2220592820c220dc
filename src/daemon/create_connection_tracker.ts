import type { Socket } from "node:net";
import type { ConnectionTracker } from "./connection_tracker.ts";

/** Timeout for the client to close a connection after its final response. */
const closeTimeoutMilliseconds = 1_000;

interface PendingAction {
  readonly requestsMaximum: number;
  readonly action: () => void;
}

/**
 * Creates the connection tracker of one listener. A request may already be in
 * transit when an idle connection is closed. The final response written before
 * the close then serves as the response to that request, which is not run:
 * requests that arrive later on the connection are not handled. Input is still
 * read, because unread input would reset the connection and discard the response.
 */
export function createConnectionTracker(): ConnectionTracker {
  const activeRequestCounts = new Map<Socket, number>();
  /** When the last request of a connection without one ended, in milliseconds on the steady clock. */
  const idleSince = new Map<Socket, number>();
  const closing = new WeakSet<Socket>();
  /** Actions that wait until fewer requests of their connection are in progress. */
  const pendingActions = new Map<Socket, PendingAction>();

  function closeAfterResponse(socket: Socket, finalResponse: string): void {
    closing.add(socket);
    socket.end(finalResponse);
    const timeout = setTimeout(
      () => socket.destroy(),
      closeTimeoutMilliseconds,
    );
    socket.once("close", () => clearTimeout(timeout));
  }

  function remove(socket: Socket): void {
    activeRequestCounts.delete(socket);
    idleSince.delete(socket);
    pendingActions.delete(socket);
  }

  return {
    add: (socket) => {
      activeRequestCounts.set(socket, 0);
      socket.once("close", () => remove(socket));
    },
    remove,
    tryBeginRequest: (socket) => {
      if (closing.has(socket)) {
        return false;
      }
      idleSince.delete(socket);
      activeRequestCounts.set(
        socket,
        (activeRequestCounts.get(socket) ?? 0) + 1,
      );
      return true;
    },
    endRequest: (socket) => {
      const requestCount = activeRequestCounts.get(socket);
      if (requestCount === undefined) return;
      activeRequestCounts.set(socket, requestCount - 1);
      if (requestCount === 1) idleSince.set(socket, performance.now());
      const pending = pendingActions.get(socket);
      if (pending === undefined || requestCount - 1 > pending.requestsMaximum) {
        return;
      }
      pendingActions.delete(socket);
      pending.action();
    },
    closeAtRequestCount: (socket, pending) => {
      // A request whose header is late may still arrive, and is refused as not run.
      closing.add(socket);
      const requestCount = activeRequestCounts.get(socket) ?? 0;
      if (requestCount <= pending.requestsMaximum) pending.action();
      else pendingActions.set(socket, pending);
    },
    closeOverdue: (milliseconds) => {
      const latest = performance.now() - milliseconds;
      Array.from(idleSince)
        .filter(([, since]) => since < latest)
        .forEach(([socket]) => socket.destroy());
    },
    closeIdle: (finalResponse) =>
      [...activeRequestCounts]
        .filter(([socket, requestCount]) =>
          requestCount === 0 && !closing.has(socket)
        )
        .forEach(([socket]) => closeAfterResponse(socket, finalResponse)),
  };
}
