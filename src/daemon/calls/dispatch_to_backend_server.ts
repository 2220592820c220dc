import type { Dispatcher } from "undici";
import type { AnswerHead } from "../../calls/answer_head.ts";
import type { DispatchEvent } from "../../calls/dispatch_event.ts";
import { DispatchEventKind } from "../../calls/dispatch_event_kind.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { ForwardedHeader } from "../../calls/forwarded_header.ts";
import type { StoredAnswer } from "../../calls/stored_answer.ts";
import type { CallsNode } from "./calls_node.ts";
import { createAnswerCollector } from "./create_answer_collector.ts";
import type { Exchange } from "./exchange.ts";

const statusTooManyRequests = 429;
const statusServiceUnavailable = 503;
const millisecondsPerSecond = 1000;
const emptyBody = new Uint8Array(0);

interface DispatchCallbacks {
  readonly onEvent: (event: DispatchEvent) => void;
  /** Called before `AnswerCompleted` or `StreamStarted` is sent to `onEvent`, with the complete answer or with the head of one that is too long to be buffered. */
  readonly onAnswer: (answer: StoredAnswer) => void;
  readonly onChunk: (chunk: Uint8Array) => boolean;
}

/** Sends a call to the backend server beside this node. */
export function dispatchToBackendServer(
  node: CallsNode,
  call: ForwardedCall,
  callbacks: DispatchCallbacks,
): Exchange {
  const { onEvent, onAnswer, onChunk } = callbacks;
  const { settings, environment } = node.options;
  let shedRetryAt: number | undefined;
  const { handler, exchange } = createAnswerCollector({
    method: call.method,
    bufferedBytesMaximum: settings.limits.bufferedAnswerBytes,
    events: {
      // The process may have been paused while the connection was being opened,
      // so the deadline may have passed before its timer fires.
      onStart: () => {
        if (environment.clock.now() >= call.deadline) {
          onEvent({ kind: DispatchEventKind.TimerFired });
        }
      },
      onInterimResponse: () => undefined,
      onHead: (head, headers) => {
        shedRetryAt = isShed(head, headers)
          ? getRetryAt(headers["retry-after"], environment.clock.now())
          : undefined;
        return isAnswerTo(call, headers);
      },
      onComplete: (head, body) => {
        if (shedRetryAt !== undefined) {
          onEvent({ kind: DispatchEventKind.Shed, retryAt: shedRetryAt });
          return;
        }
        onAnswer({ head, body });
        onEvent({
          kind: DispatchEventKind.AnswerCompleted,
          overloaded: head.status === statusServiceUnavailable ||
            head.status === statusTooManyRequests,
        });
      },
      onStreamStart: (head) => {
        onAnswer({ head, body: emptyBody });
        onEvent({ kind: DispatchEventKind.StreamStarted });
      },
      onChunk,
      onStreamEnd: () => onEvent({ kind: DispatchEventKind.StreamEnded }),
      onNotSent: () => onEvent({ kind: DispatchEventKind.NotConnected }),
      onBroken: () => onEvent({ kind: DispatchEventKind.Broken }),
    },
  });
  node.backendPool!.dispatch({
    method: call.method as Dispatcher.HttpMethod,
    path: call.path,
    headers: [
      ...call.headers,
      ForwardedHeader.CallIdentifier,
      call.callIdentifier,
      ForwardedHeader.Deadline,
      String(call.deadline),
    ],
    body: call.body ?? null,
  }, handler);
  return exchange;
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

function isShed(head: AnswerHead, headers: Headers): boolean {
  return head.status === statusServiceUnavailable &&
    headers[ForwardedHeader.NotRun] === "true";
}

/**
 * Returns false if the answer carries the identifier of another call: answers on
 * the connection then no longer correspond to the requests.
 */
function isAnswerTo(call: ForwardedCall, headers: Headers): boolean {
  const callIdentifier = headers[ForwardedHeader.CallIdentifier];
  return callIdentifier === undefined || callIdentifier === call.callIdentifier;
}

function getRetryAt(
  retryAfter: string | string[] | undefined,
  now: number,
): number {
  const seconds = Number(retryAfter ?? 1);
  return now +
    (Number.isFinite(seconds) && seconds > 0 ? seconds : 1) *
      millisecondsPerSecond;
}
