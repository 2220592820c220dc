import {
  type ClientRequest,
  type IncomingMessage,
  request as sendRequest,
} from "node:http";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import type { BackendExchange } from "./backend_exchange.ts";
import { BackendExchangeKind } from "./backend_exchange_kind.ts";
import { chooseBackendAgent } from "./choose_backend_agent.ts";
import { classifyBackendAnswer } from "./classify_backend_answer.ts";
import type { CallRequest } from "./call_request.ts";
import type { CallSignal } from "./call_signal.ts";
import { createAnswerCheck } from "./create_answer_check.ts";
import { destroyOnAbort } from "./destroy_on_abort.ts";
import { destroyOnReset } from "./destroy_on_reset.ts";
import { discardBody } from "./discard_body.ts";
import { isFramedAnswer } from "./is_framed_answer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { sendWhenConnected } from "./send_when_connected.ts";

/**
 * Sends a request to the backend server of this VM.
 *
 * An answer that names another call is rejected: a backend server may send a
 * second answer, or a late one to an earlier request. One to an earlier attempt of
 * this call names the same call, so each attempt has a connection of its own. A success must also name
 * this call, be signed and have no content encoding. Aborting `signal` closes
 * the connection, which signals the backend server to stop.
 */
export function sendToBackendServer(
  node: MeshNode,
  request: CallRequest,
  options: {
    readonly callIdentifier: string;
    readonly idempotent: boolean;
    /** Instant after which the call has no further attempt, in milliseconds since the Unix epoch. */
    readonly deadline: number;
    readonly signal: CallSignal;
  },
): Promise<BackendExchange> {
  const { backendServer } = node.settings;
  return new Promise((resolve) => {
    let received: IncomingMessage | undefined;
    const outgoing = sendRequest({
      agent: chooseBackendAgent(node, options),
      host: backendServer.host,
      port: backendServer.port,
      method: request.method,
      path: request.url,
      headers: [
        ...request.headers,
        ...getLengthHeaders(request),
      ] as unknown as string[],
    });
    destroyOnAbort(outgoing, options.signal);
    const isProperAnswer = createAnswerCheck(outgoing);
    const connection = sendWhenConnected(node, outgoing, request);
    outgoing.once("response", (answer) => {
      received = answer;
      destroyOnReset(answer);
      const head = node.dialect.readBackendAnswerHead(answer);
      const kind = isProperAnswer(answer)
        ? classifyBackendAnswer(answer.statusCode ?? 0, {
          head,
          callIdentifier: options.callIdentifier,
        })
        : BackendExchangeKind.Broken;
      // A second copy of an answer that names no call would look like the answer
      // to the next request on this connection.
      if (head.callIdentifier === undefined) outgoing.shouldKeepAlive = false;
      resolve(readAnswer(node, answer, { outgoing, head, kind }));
    });
    outgoing.on("error", (error) => {
      if (received === undefined) {
        resolve({ kind: classifyError(connection), found: error.message });
        return;
      }
      if (!hasArrivedBefore(received)) received.destroy(error);
    });
    // A switch of protocols ends the connection without an error.
    outgoing.once("close", () => {
      if (received !== undefined) return;
      resolve({ kind: classifyError(connection), found: "no answer" });
    });
  });
}

/** Reads what follows the head of an answer; of one to pass on, nothing. */
async function readAnswer(
  node: MeshNode,
  answer: IncomingMessage,
  options: {
    readonly outgoing: ClientRequest;
    readonly head: BackendAnswerHead;
    readonly kind: ReturnType<typeof classifyBackendAnswer>;
  },
): Promise<BackendExchange> {
  const { outgoing, head, kind } = options;
  if (kind === BackendExchangeKind.Answered) {
    // After an early answer, the rest of this request must not share the
    // connection with the next request.
    if (!outgoing.writableFinished) outgoing.shouldKeepAlive = false;
    return { kind, answer, head };
  }
  if (kind === BackendExchangeKind.Broken) {
    answer.destroy();
    return createBrokenExchange(answer);
  }
  // What an answer states holds only if all of it arrives.
  const isWhole = await discardBody(node, answer);
  return isWhole ? { kind, head } : createBrokenExchange(answer);
}

function createBrokenExchange({ statusCode }: IncomingMessage) {
  const found = `answer with status ${statusCode}`;
  return { kind: BackendExchangeKind.Broken, found } as const;
}

/**
 * Whether an answer had arrived completely before an error; bytes after it
 * belong to no request. The parser treats any end of an answer without a length,
 * including a reset, as the end of its body.
 */
function hasArrivedBefore(answer: IncomingMessage): boolean {
  return answer.complete && isFramedAnswer(answer);
}

function classifyError(
  connection: {
    readonly isConnected: () => boolean;
    readonly isSent: () => boolean;
  },
) {
  if (connection.isSent()) return BackendExchangeKind.Broken;
  return connection.isConnected()
    ? BackendExchangeKind.ConnectionRejected
    : BackendExchangeKind.NotConnected;
}

function getLengthHeaders(request: CallRequest): readonly string[] {
  const bodyless = request.body.length === 0 &&
    (request.method === "GET" || request.method === "HEAD");
  return bodyless ? [] : ["content-length", String(request.body.length)];
}
