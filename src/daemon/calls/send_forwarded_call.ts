import type { Pool } from "undici";
import { decodeNodeRefusal } from "../../calls/decode_node_refusal.ts";
import { encodeForwardedCall } from "../../calls/encode_forwarded_call.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { ForwardedHeader } from "../../calls/forwarded_header.ts";
import type { NodeRefusal } from "../../calls/node_refusal.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import { createAnswerCollector } from "./create_answer_collector.ts";
import type { Exchange } from "./exchange.ts";

/** The HTTP method of every forwarded call; the caller's method is sent in a header. */
const forwardingMethod = "POST";

/** Sends a call to another node and passes the answer to `receiver`. */
export function sendForwardedCall(
  pool: Pool,
  call: ForwardedCall,
  options: {
    readonly receiver: AnswerReceiver;
    readonly bufferedBytesMaximum: number;
    readonly now: () => number;
  },
): Exchange {
  const { receiver, bufferedBytesMaximum, now } = options;
  let refusal: NodeRefusal | undefined;
  let declaredLength: number | undefined;
  const { handler, exchange } = createAnswerCollector({
    method: forwardingMethod,
    bufferedBytesMaximum,
    events: {
      // The time needed to open a connection does not count as inactivity.
      onStart: () => receiver.onActivity(),
      onInterimResponse: () => receiver.onActivity(),
      onHead: (_, headers) => {
        const refused = headers[ForwardedHeader.Outcome] !== undefined;
        refusal = refused ? decodeNodeRefusal(headers, now()) : undefined;
        declaredLength = getDeclaredLength(headers);
        const freeSlots = Number(headers[ForwardedHeader.FreeSlots]);
        if (Number.isFinite(freeSlots)) {
          receiver.onLoad(freeSlots);
        }
        return (!refused || refusal !== undefined) &&
          headers[ForwardedHeader.CallIdentifier] === call.callIdentifier;
      },
      onComplete: (head, body) => {
        if (refusal === undefined) {
          receiver.onCompleteAnswer({
            head: call.method === "HEAD" ? { ...head, declaredLength } : head,
            body,
          });
        } else {
          receiver.onRefused(refusal);
        }
      },
      onStreamStart: (head) => receiver.onStreamStart(head),
      onChunk: (chunk) => receiver.onChunk(chunk),
      onStreamEnd: () => receiver.onStreamEnd(),
      onNotSent: (connectionRefused) => receiver.onNotSent(connectionRefused),
      onBroken: () => receiver.onContactLost(),
    },
  });
  pool.dispatch({
    method: forwardingMethod,
    path: "/call",
    headers: encodeForwardedCall(call),
    body: call.body ?? null,
  }, handler);
  return exchange;
}

function getDeclaredLength(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): number | undefined {
  const value = headers[ForwardedHeader.DeclaredLength];
  return typeof value === "string" ? Number(value) : undefined;
}
