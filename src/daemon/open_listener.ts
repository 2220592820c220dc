import {
  createServer,
  type IncomingMessage,
  type RequestListener,
} from "node:http";
import { type AddressInfo, Server, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { Result } from "true-myth";
import { createDiagnostic } from "../diagnostics/create_diagnostic.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import { DiagnosticCode } from "../diagnostics/diagnostic_code.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { closeUnreadRequest } from "./close_unread_request.ts";
import { createConnectionTracker } from "./create_connection_tracker.ts";
import type { Listener } from "./listener.ts";

/** Keep-alive timeout of an idle connection. */
const keepAliveTimeoutMilliseconds = 30_000;
/** Default interval of the check for overdue request headers; each check wakes the process. */
const defaultHeaderCheckIntervalMilliseconds = 30_000;
/** Interval at which a closing listener checks for connections that have become idle. */
const idleCheckIntervalMilliseconds = 20;
/** Duration below which an iteration of the event loop counts as idle. */
const idleIterationMilliseconds = 0.1;
/** Number of busy iterations of the event loop after which a listener closes regardless. */
const busyIterationsMaximum = 200;

/** The address, limits and handlers of a listener. */
interface ListenerOptions {
  readonly address: NetworkAddress;
  readonly requestHeaderBytes: number;
  /** Interval of the check for request headers that did not arrive in time. */
  readonly headerCheckIntervalMilliseconds?: number;
  readonly onRequest: RequestListener;
  /**
   * Takes over a connection whose client asks for another protocol; by default
   * such a request is handled like any other.
   */
  readonly onUpgrade?: (
    request: IncomingMessage,
    options: { readonly socket: Socket; readonly head: Buffer },
  ) => void;
  /** Responds to a request that is not HTTP, or whose header is too large or did not arrive in time. */
  readonly onInvalidRequest: (
    error: NodeJS.ErrnoException,
    socket: Duplex,
  ) => void;
}

/** Binds an HTTP listener; fails with `ListenerUnavailable` if the address cannot be bound. */
export function openListener(
  options: ListenerOptions,
): Promise<Result<Listener, Diagnostic>> {
  const tracker = createConnectionTracker();
  const newestRequests = new WeakMap<Duplex, IncomingMessage>();
  const server = createServer({
    maxHeaderSize: options.requestHeaderBytes,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    connectionsCheckingInterval: options.headerCheckIntervalMilliseconds ??
      defaultHeaderCheckIntervalMilliseconds,
    noDelay: true,
  }, (request, response) => {
    const socket = request.socket;
    if (!tracker.tryBeginRequest(socket)) {
      return;
    }
    newestRequests.set(socket, request);
    response.once("close", () => tracker.endRequest(socket));
    response.once("finish", () => closeUnreadRequest(request));
    options.onRequest(request, response);
  });
  server.on("connection", tracker.add);
  // Empty lines between two requests end the idle timeout of the server and
  // begin no request, whose header would have a timeout.
  const overdueCheck = setInterval(
    () => tracker.closeOverdue(server.keepAliveTimeout + server.headersTimeout),
    options.headerCheckIntervalMilliseconds ??
      defaultHeaderCheckIntervalMilliseconds,
  ).unref();
  server.once("close", () => clearInterval(overdueCheck));
  const { onUpgrade } = options;
  if (onUpgrade !== undefined) {
    server.on("upgrade", (request, socket: Socket, head) => {
      tracker.remove(socket);
      onUpgrade(request, { socket, head });
    });
  }
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    // Requests before the invalid one get their responses first. A request
    // whose body is invalid is in progress itself, and gets no other response.
    const isBodyInvalid = newestRequests.get(socket)?.complete === false;
    tracker.closeAtRequestCount(socket, {
      requestsMaximum: isBodyInvalid ? 1 : 0,
      action: () => options.onInvalidRequest(error, socket),
    });
  });

  function close(finalResponse: string): Promise<void> {
    return new Promise((resolve) => {
      const idleCheck = setInterval(
        () => tracker.closeIdle(finalResponse),
        idleCheckIntervalMilliseconds,
      );
      runAfterPendingConnections(() =>
        // `close` of the HTTP server would destroy idle connections without a response.
        Server.prototype.close.call(server, () => {
          clearInterval(idleCheck);
          resolve();
        })
      );
      tracker.closeIdle(finalResponse);
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
 * Runs `action` once the connections in the kernel's accept queue have been
 * accepted: closing a listening socket resets those still in the queue. The
 * current iteration of the event loop may already have polled the socket, and
 * further connections may arrive while an iteration is busy with others, so
 * `action` runs after a complete iteration that was idle.
 */
function runAfterPendingConnections(action: () => void): void {
  function checkIteration(
    iterationStartedAt: number,
    iterationsLeft: number,
  ): void {
    setImmediate(() => {
      const now = performance.now();
      const isIdle = now - iterationStartedAt < idleIterationMilliseconds;
      if (isIdle || iterationsLeft === 0) action();
      else checkIteration(now, iterationsLeft - 1);
    });
  }
  setImmediate(() => checkIteration(performance.now(), busyIterationsMaximum));
}
