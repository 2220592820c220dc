import type { Socket } from "node:net";
import type { ConnectionTracker } from "./connection_tracker.ts";

/** How long a finished connection waits for its peer to close it. */
const lingerMilliseconds = 1_000;

/**
 * Creates the tracker of one listener. A request may already be on its way
 * when an idle connection closes. The final answer that is written before the
 * closing is then the answer to that request, which is not run: nothing that
 * arrives later on the connection is handled. The input is still read, since
 * unread input would reset the connection and take the answer with it.
 */
export function createConnectionTracker(): ConnectionTracker {
  const requests = new Map<Socket, number>();
  const finished = new WeakSet<Socket>();

  function finish(socket: Socket, answer: string): void {
    finished.add(socket);
    socket.end(answer);
    const timeout = setTimeout(() => socket.destroy(), lingerMilliseconds);
    socket.once("close", () => clearTimeout(timeout));
  }

  return {
    add: (socket) => {
      requests.set(socket, 0);
      socket.once("close", () => requests.delete(socket));
    },
    tryBegin: (socket) => {
      if (finished.has(socket)) {
        return false;
      }
      requests.set(socket, (requests.get(socket) ?? 0) + 1);
      return true;
    },
    end: (socket) => {
      const count = requests.get(socket);
      if (count !== undefined) {
        requests.set(socket, count - 1);
      }
    },
    finishIdle: (answer) =>
      [...requests]
        .filter(([socket, count]) => count === 0 && !finished.has(socket))
        .forEach(([socket]) => finish(socket, answer)),
  };
}
