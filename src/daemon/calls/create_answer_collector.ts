import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { AnswerHead } from "../../calls/answer_head.ts";
import { selectForwardedHeaders } from "../../calls/select_forwarded_headers.ts";
import type { CollectorEvents } from "./collector_events.ts";
import type { Exchange } from "./exchange.ts";
import { isBodyExpected } from "./is_body_expected.ts";

const firstFinalStatus = 200;
const emptyBody = new Uint8Array(0);

/**
 * Receives an answer through `undici` and holds it until it is whole or longer
 * than `heldBytes`. Closing a connection is left to `undici`: it never uses a
 * connection with an abandoned exchange again.
 */
export function createAnswerCollector(
  options: {
    readonly method: string;
    readonly heldBytes: number;
    readonly events: CollectorEvents;
  },
): {
  readonly handler: Dispatcher.DispatchHandler;
  readonly exchange: Exchange;
} {
  const { method, heldBytes, events } = options;
  let controller: Dispatcher.DispatchController | undefined;
  let head: AnswerHead | undefined;
  let pieces: Uint8Array[] = [];
  let receivedBytes = 0;
  let streaming = false;
  let ended = false;

  const abort = () => {
    ended = true;
    pieces = [];
    controller?.abort(
      new DOMException("The exchange is abandoned", "AbortError"),
    );
  };
  const breakOff = () => {
    if (!ended) {
      abort();
      events.onBroken();
    }
  };
  const stream = (beginning: AnswerHead) => {
    streaming = true;
    events.onStream(beginning);
    const ready = pieces.map((piece) => events.onPiece(piece));
    pieces = [];
    if (ready.includes(false)) {
      controller?.pause();
    }
  };
  const receiveHead = (
    status: number,
    headers: IncomingHttpHeaders,
    rawHeaders: readonly string[],
  ) => {
    const received = createHead(status, headers, rawHeaders);
    const framed = received.declaredLength !== undefined ||
      isChunked(headers) || !isBodyExpected(method, status);
    if (!framed || !events.onHead(received, headers)) {
      breakOff();
      return;
    }
    head = received;
    if (
      isBodyExpected(method, status) &&
      (received.declaredLength ?? 0) > heldBytes
    ) {
      stream(received);
    }
  };
  const receivePiece = (piece: Uint8Array) => {
    receivedBytes += piece.byteLength;
    if (streaming) {
      if (!events.onPiece(piece)) {
        controller?.pause();
      }
      return;
    }
    pieces.push(piece);
    if (receivedBytes > heldBytes) {
      stream(head!);
    }
  };
  const receiveEnd = () => {
    const whole = head !== undefined &&
      (head.declaredLength === undefined ||
        !isBodyExpected(method, head.status) ||
        head.declaredLength === receivedBytes);
    if (!whole) {
      breakOff();
      return;
    }
    ended = true;
    if (streaming) {
      events.onStreamEnd();
      return;
    }
    events.onWhole(head!, joinPieces(pieces));
  };

  return {
    handler: {
      onRequestStart: (started) => {
        // A second start would send the request again, which only the caller
        // of this module may decide.
        const again = controller !== undefined;
        controller = started;
        events.onStart();
        if (ended) {
          abort();
        } else if (again) {
          breakOff();
        }
      },
      onResponseStart: (started, status, headers) => {
        if (ended) {
          return;
        }
        if (status < firstFinalStatus) {
          events.onSign();
          return;
        }
        receiveHead(status, headers, decodeHeaders(started.rawHeaders));
      },
      onResponseData: (_, piece) => {
        if (!ended) {
          receivePiece(piece);
        }
      },
      onResponseEnd: () => {
        if (!ended) {
          receiveEnd();
        }
      },
      onResponseError: (_, error) => {
        if (ended) {
          return;
        }
        ended = true;
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

function isChunked(headers: IncomingHttpHeaders): boolean {
  return /\bchunked\s*$/i.test(String(headers["transfer-encoding"] ?? ""));
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

function joinPieces(pieces: readonly Uint8Array[]): Uint8Array {
  if (pieces.length === 0) {
    return emptyBody;
  }
  return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
}
