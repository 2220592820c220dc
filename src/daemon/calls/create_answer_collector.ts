import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { AnswerHead } from "../../calls/answer_head.ts";
import { isFinalStatus } from "../../calls/is_final_status.ts";
import { selectForwardedHeaders } from "../../calls/select_forwarded_headers.ts";
import type { AnswerCollectorEvents } from "./answer_collector_events.ts";
import type { Exchange } from "./exchange.ts";
import { isBodyExpected } from "./is_body_expected.ts";

const firstFinalStatus = 200;
const emptyBody = new Uint8Array(0);

/**
 * Creates an `undici` handler that buffers an answer until it is complete, or
 * streams it once it exceeds `bufferedBytesMaximum`. `undici` closes the
 * connection of a cancelled exchange and never reuses it.
 */
export function createAnswerCollector(
  options: {
    readonly method: string;
    readonly bufferedBytesMaximum: number;
    readonly events: AnswerCollectorEvents;
  },
): {
  readonly handler: Dispatcher.DispatchHandler;
  readonly exchange: Exchange;
} {
  const { method, bufferedBytesMaximum, events } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let head: AnswerHead | undefined;
  let chunks: Uint8Array[] = [];
  let receivedBytes = 0;
  let isStreaming = false;
  let hasEnded = false;

  const abort = () => {
    hasEnded = true;
    chunks = [];
    controller?.abort(
      new DOMException("The exchange was cancelled", "AbortError"),
    );
  };
  const failExchange = () => {
    if (!hasEnded) {
      abort();
      events.onBroken();
    }
  };
  const startStream = (answerHead: AnswerHead) => {
    isStreaming = true;
    events.onStreamStart(answerHead);
    const ready = chunks.map((chunk) => events.onChunk(chunk));
    chunks = [];
    if (ready.includes(false)) {
      controller?.pause();
    }
  };
  const handleHead = (
    status: number,
    headers: IncomingHttpHeaders,
    rawHeaders: readonly string[],
  ) => {
    const received = createHead(status, headers, rawHeaders);
    const isFramed = received.declaredLength !== undefined ||
      isChunked(headers) || !isBodyExpected(method, status);
    if (
      !isFinalStatus(status) || !isFramed || !events.onHead(received, headers)
    ) {
      failExchange();
      return;
    }
    head = received;
    if (
      isBodyExpected(method, status) &&
      (received.declaredLength ?? 0) > bufferedBytesMaximum
    ) {
      startStream(received);
    }
  };
  const handleChunk = (chunk: Uint8Array) => {
    receivedBytes += chunk.byteLength;
    if (isStreaming) {
      if (!events.onChunk(chunk)) {
        controller?.pause();
      }
      return;
    }
    chunks.push(chunk);
    if (receivedBytes > bufferedBytesMaximum) {
      startStream(head!);
    }
  };
  const handleEnd = () => {
    const isComplete = head !== undefined &&
      (head.declaredLength === undefined ||
        !isBodyExpected(method, head.status) ||
        head.declaredLength === receivedBytes);
    if (!isComplete) {
      failExchange();
      return;
    }
    hasEnded = true;
    if (isStreaming) {
      events.onStreamEnd();
      return;
    }
    events.onComplete(head!, concatenateChunks(chunks));
  };

  return {
    handler: {
      onRequestStart: (started) => {
        // A second start would send the request again. Only the code that uses
        // the collector may decide on a retry.
        const isRestart = controller !== undefined;
        controller = started;
        events.onStart();
        if (hasEnded) {
          abort();
        } else if (isRestart) {
          failExchange();
        }
      },
      onResponseStart: (started, status, headers) => {
        if (hasEnded) {
          return;
        }
        if (status < firstFinalStatus) {
          events.onInterimResponse();
          return;
        }
        handleHead(status, headers, decodeHeaders(started.rawHeaders));
      },
      onResponseData: (_, chunk) => {
        if (!hasEnded) {
          handleChunk(chunk);
        }
      },
      onResponseEnd: () => {
        if (!hasEnded) {
          handleEnd();
        }
      },
      onResponseError: (_, error) => {
        if (hasEnded) {
          return;
        }
        hasEnded = true;
        if (controller === undefined) {
          events.onNotSent(isConnectionRefused(error));
        } else {
          events.onBroken();
        }
      },
    },
    exchange: {
      cancel: abort,
      resume: () => controller?.resume(),
    },
  };
}

function isConnectionRefused(error: Error): boolean {
  return "code" in error && error.code === "ECONNREFUSED";
}

function createHead(
  status: number,
  headers: IncomingHttpHeaders,
  rawHeaders: readonly string[],
): AnswerHead {
  const length = headers["content-length"];
  return {
    status,
    headers: selectForwardedHeaders(rawHeaders),
    declaredLength: length === undefined || isChunked(headers)
      ? undefined
      : Number(length),
  };
}

/** Whether chunks are the only transfer coding; no other was requested. */
function isChunked(headers: IncomingHttpHeaders): boolean {
  return /^chunked\s*$/i.test(String(headers["transfer-encoding"] ?? ""));
}

function decodeHeaders(
  rawHeaders: Dispatcher.DispatchController["rawHeaders"],
): readonly string[] {
  return Array.isArray(rawHeaders)
    ? rawHeaders.map((text) =>
      typeof text === "string" ? text : text.toString("latin1")
    )
    : [];
}

function concatenateChunks(chunks: readonly Uint8Array[]): Uint8Array {
  if (chunks.length === 0) {
    return emptyBody;
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
