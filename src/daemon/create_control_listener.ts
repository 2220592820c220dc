import type { IncomingMessage, ServerResponse } from "node:http";
import { text } from "node:stream/consumers";
import {
  createJSONRPCErrorResponse,
  isJSONRPCRequest,
  JSONRPCErrorCode,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import { tryOrElse } from "true-myth/result";
import { CallsControlMethod } from "../calls/calls_control_method.ts";
import { DiagnosticError } from "../diagnostics/diagnostic_error.ts";
import { formatDiagnostic } from "../diagnostics/format_diagnostic.ts";
import { DistributionMethod } from "../distribution/distribution_method.ts";
import type { Log } from "../telemetry/log.ts";
import type { ControlHandler } from "./control_handler.ts";
import type { ServedControlTraffic } from "./served_control_traffic.ts";

const okStatus = 200;
const payloadTooLargeStatus = 413;

/**
 * Creates the request listener of `POST /control`, which handles one JSON-RPC 2.0
 * request and writes one response.
 */
export function createControlListener(
  options: {
    readonly calls: ControlHandler;
    readonly distribution: ControlHandler;
    readonly log: Log;
    readonly traffic: ServedControlTraffic;
    /** Requests that declare a longer body are refused with status 413 without reading it. */
    readonly bodyBytesMaximum: number;
  },
): (request: IncomingMessage, response: ServerResponse) => void {
  const server = new JSONRPCServer({
    errorListener: (message, data) => options.log.debug({ data }, message),
  });
  server.mapErrorToJSONRPCErrorResponse = (identifier, error) =>
    createJSONRPCErrorResponse(
      identifier,
      error instanceof DiagnosticError
        ? JSONRPCErrorCode.InvalidParams
        : JSONRPCErrorCode.InternalError,
      error instanceof DiagnosticError
        ? formatDiagnostic(error.diagnostic)
        : "The node failed to answer",
    );

  Object.values(CallsControlMethod).forEach((method) =>
    server.addMethod(
      method,
      (parameters: unknown) => options.calls(method, parameters),
    )
  );
  Object.values(DistributionMethod).forEach((method) =>
    server.addMethod(
      method,
      (parameters: unknown) => options.distribution(method, parameters),
    )
  );

  function handleBody(body: string): Promise<JSONRPCResponse | null> {
    const parsed = tryOrElse(
      () => undefined,
      () => JSON.parse(body) as unknown,
    );
    if (parsed.isErr) {
      return Promise.resolve(
        createJSONRPCErrorResponse(
          null,
          JSONRPCErrorCode.ParseError,
          "The body is not JSON",
        ),
      );
    }
    // `isJSONRPCRequest` accesses properties without a null check and would throw on null.
    if (parsed.value === null || !isJSONRPCRequest(parsed.value)) {
      return Promise.resolve(
        createJSONRPCErrorResponse(
          null,
          JSONRPCErrorCode.InvalidRequest,
          "The body is not a JSON-RPC 2.0 request",
        ),
      );
    }
    return Promise.resolve(server.receive(parsed.value));
  }

  return (request, response) => {
    options.traffic.recordRequest(request.socket);
    if (
      Number(request.headers["content-length"] ?? 0) > options.bodyBytesMaximum
    ) {
      response.writeHead(payloadTooLargeStatus, { connection: "close" }).end();
      return;
    }
    text(request)
      .then(handleBody)
      .then((rpcResponse) => {
        const body = JSON.stringify(rpcResponse);
        options.traffic.recordResponse();
        response.writeHead(okStatus, {
          "content-type": "application/json",
          "content-length": Buffer.byteLength(body),
        }).end(body);
      })
      .catch((error: unknown) => {
        options.log.debug(
          { error },
          "Control request failed before its response was sent",
        );
        response.destroy();
      });
  };
}
