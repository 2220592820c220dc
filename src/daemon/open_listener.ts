import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, Server } from "node:net";
import type { Duplex } from "node:stream";
import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { createConnectionTracker } from "./create_connection_tracker.ts";
import type { Listener } from "./listener.ts";

/** How long an idle connection is kept for the next request. */
const keepAliveMilliseconds = 30_000;
/** How often heads that have not arrived are looked for; each look wakes the process. */
const headCheckMilliseconds = 30_000;
/** How often a closing listener looks for connections that have become idle. */
const sweepMilliseconds = 20;
/** A turn of the event loop in which hardly anything was handled takes less. */
const quietTurnMilliseconds = 0.1;
/** A listener closes in any case after so many busy turns. */
const busyTurnsMaximum = 200;

/** What `openListener` binds and how it answers. */
interface ListenerOptions {
  readonly address: NetworkAddress;
  readonly requestHeaderBytes: number;
  /** How often heads that have not arrived in time are looked for. */
  readonly headCheckMilliseconds?: number;
  readonly onRequest: RequestListener;
  /** Answers a request that is not HTTP or whose header is too large. */
  readonly onBrokenRequest: (
    error: NodeJS.ErrnoException,
    socket: Duplex,
  ) => void;
}

/** Binds an HTTP listener; fails with ListenerUnavailable where the address cannot be bound. */
export function openListener(
  options: ListenerOptions,
): Promise<Result<Listener, Diagnostic>> {
  const tracker = createConnectionTracker();
  const server = createServer({
    maxHeaderSize: options.requestHeaderBytes,
    keepAliveTimeout: keepAliveMilliseconds,
    connectionsCheckingInterval: options.headCheckMilliseconds ??
      headCheckMilliseconds,
    noDelay: true,
  }, (request, response) => {
    const socket = request.socket;
    if (!tracker.tryBegin(socket)) {
      return;
    }
    response.once("close", () => tracker.end(socket));
    options.onRequest(request, response);
  });
  server.on("connection", tracker.add);
  server.on("clientError", options.onBrokenRequest);

  function close(finalAnswer: string): Promise<void> {
    return new Promise((resolve) => {
      const sweep = setInterval(
        () => tracker.finishIdle(finalAnswer),
        sweepMilliseconds,
      );
      afterPendingConnections(() =>
        // The HTTP server's own close would destroy idle connections without an answer.
        Server.prototype.close.call(server, () => {
          clearInterval(sweep);
          resolve();
        })
      );
      tracker.finishIdle(finalAnswer);
    });
  }

  return new Promise((resolve) => {
    server.once("error", (error) =>
      resolve(Result.err(
        createDiagnostic(DiagnosticCode.ListenerUnavailable, {
          path: formatAddress(options.address),
          found: error.message,
        }),
      )));
    server.listen(options.address.port, options.address.host, () => {
      const bound = server.address() as AddressInfo;
      resolve(Result.ok({
        address: { host: options.address.host, port: bound.port },
        close,
        setLimits: ({ headerMilliseconds, idleMilliseconds }) => {
          server.headersTimeout = headerMilliseconds;
          server.keepAliveTimeout = idleMilliseconds;
        },
        destroy: () => {
          server.close();
          server.closeAllConnections();
        },
      }));
    });
  });
}

/**
 * Runs `action` once the connections are accepted that stood in the queue of
 * the kernel: closing a listening socket resets those that still stand there.
 * A turn of the event loop that has begun may have looked at the socket
 * already, and more may come while a turn is busy with other connections, so
 * the action comes after a whole turn in which little happened.
 */
function afterPendingConnections(action: () => void): void {
  function look(turnStartedAt: number, turnsLeft: number): void {
    setImmediate(() => {
      const now = performance.now();
      const isQuiet = now - turnStartedAt < quietTurnMilliseconds;
      if (isQuiet || turnsLeft === 0) action();
      else look(now, turnsLeft - 1);
    });
  }
  setImmediate(() => look(performance.now(), busyTurnsMaximum));
}
