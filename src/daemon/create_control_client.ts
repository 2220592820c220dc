import { createJSONRPCRequest, isJSONRPCResponse } from "json-rpc-2.0";
import { Result } from "true-myth";
import { Agent, Client, type Dispatcher } from "undici";
import type { ControlCall } from "../peers/control_call.ts";
import type { ControlFailure } from "../peers/control_failure.ts";
import { ControlFailureKind } from "../peers/control_failure_kind.ts";
import type { Clock } from "../runtime/clock.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { CountingControlClient } from "./counting_control_client.ts";
import { createCountingConnector } from "./create_counting_connector.ts";
import { createSocketByteCounter } from "./create_socket_byte_counter.ts";
import { getErrorCode } from "./get_error_code.ts";
import { tryParseJson } from "./try_parse_json.ts";

const connectTimeoutMilliseconds = 1_000;
const keepAliveTimeoutMilliseconds = 4_000;
const connectionsPerPeer = 4;
const responseBytesMaximum = 8_388_608;

const connectionRefusedCode = "ECONNREFUSED";

/** Errors that occur before a connection is open, so that the request cannot have been sent. */
const connectionErrorCodes: readonly string[] = [
  connectionRefusedCode,
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
];

type ControlResult = Result<unknown, ControlFailure>;

/** Creates a client that sends JSON-RPC requests to other nodes over HTTP/1.1. */
export function createControlClient(
  options: { readonly clock: Clock },
): CountingControlClient {
  const counter = createSocketByteCounter();
  const connect = createCountingConnector(counter, {
    connectTimeoutMilliseconds,
  });
  const agent = new Agent({
    connect,
    connections: connectionsPerPeer,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    maxResponseSize: responseBytesMaximum,
  });
  let messagesSent = 0;
  let messagesReceived = 0;

  async function call(control: ControlCall): Promise<ControlResult> {
    const remaining = control.deadline - options.clock.now();
    if (remaining <= 0) {
      return createFailureResult(
        ControlFailureKind.ConnectionFailed,
        "Deadline passed before the request was sent",
      );
    }
    const dispatcher = control.freshConnection
      ? new Client(getOrigin(control), {
        connect,
        maxResponseSize: responseBytesMaximum,
      })
      : agent;
    messagesSent += 1;
    try {
      return await post(control, {
        dispatcher,
        identifier: messagesSent,
        signal: AbortSignal.timeout(remaining),
      });
    } catch (error) {
      return createErrorResult(error);
    } finally {
      if (dispatcher !== agent) {
        dispatcher.destroy();
      }
    }
  }

  async function post(
    control: ControlCall,
    requestOptions: {
      readonly dispatcher: Dispatcher;
      readonly identifier: number;
      readonly signal: AbortSignal;
    },
  ): Promise<ControlResult> {
    const { dispatcher, identifier, signal } = requestOptions;
    const response = await dispatcher.request({
      origin: getOrigin(control),
      path: "/control",
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(
        createJSONRPCRequest(
          identifier,
          control.method,
          control.parameters as object,
        ),
      ),
      signal,
    });
    const text = await response.body.text();
    messagesReceived += 1;
    return parseResponse(text, { identifier, status: response.statusCode });
  }

  return {
    call,
    close: () => agent.destroy(),
    getTraffic: () => ({
      bytesSent: counter.getBytesWritten(),
      bytesReceived: counter.getBytesRead(),
      messagesSent,
      messagesReceived,
    }),
  };
}

function getOrigin({ address }: ControlCall): string {
  return `http://${formatAddress(address)}`;
}

function parseResponse(
  text: string,
  expected: { readonly identifier: number; readonly status: number },
): ControlResult {
  const response = tryParseJson(text);
  if (
    typeof response !== "object" || response === null ||
    !isJSONRPCResponse(response) || response.id !== expected.identifier
  ) {
    return createFailureResult(
      ControlFailureKind.Rejected,
      `Status ${expected.status} without a JSON-RPC response to the request`,
    );
  }
  return response.error === undefined
    ? Result.ok(response.result)
    : createFailureResult(
      ControlFailureKind.Rejected,
      `JSON-RPC error ${response.error.code}: ${response.error.message}`,
    );
}

function createErrorResult(error: unknown): ControlResult {
  const code = getErrorCode(error);
  return Result.err({
    kind: connectionErrorCodes.includes(code)
      ? ControlFailureKind.ConnectionFailed
      : ControlFailureKind.NoResponse,
    detail: error instanceof Error ? error.message || code : String(error),
    refused: code === connectionRefusedCode,
  });
}

function createFailureResult(
  kind: ControlFailureKind,
  detail: string,
): ControlResult {
  return Result.err({ kind, detail });
}
