import type { Pool } from "undici";
import { decodeNodeRefusal } from "../../calls/decode_node_refusal.ts";
import { encodeForwardedCall } from "../../calls/encode_forwarded_call.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { ForwardedHeader } from "../../calls/forwarded_header.ts";
import type { NodeRefusal } from "../../calls/node_refusal.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import { createAnswerCollector } from "./create_answer_collector.ts";
import type { Exchange } from "./exchange.ts";

/** The method of every hand-over; the caller's own travels in a header. */
const hopMethod = "POST";

/** Hands a call over to another node and gives its answer to `receiver`. */
export function sendForwardedCall(
  pool: Pool,
  call: ForwardedCall,
  options: {
    readonly receiver: AnswerReceiver;
    readonly heldBytes: number;
    readonly now: () => number;
  },
): Exchange {
  const { receiver, heldBytes, now } = options;
  let refusal: NodeRefusal | undefined;
  let declaredLength: number | undefined;
  const { handler, exchange } = createAnswerCollector({
    method: hopMethod,
    heldBytes,
    events: {
      // Time to open a connection does not count as silence.
      onStart: () => receiver.onSign(),
      onSign: () => receiver.onSign(),
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
      onWhole: (head, body) => {
        if (refusal === undefined) {
          receiver.onWhole({
            head: call.method === "HEAD" ? { ...head, declaredLength } : head,
            body,
          });
        } else {
          receiver.onRefused(refusal);
        }
      },
      onStream: (head) => receiver.onStream(head),
      onPiece: (piece) => receiver.onPiece(piece),
      onStreamEnd: () => receiver.onStreamEnd(),
      onNotSent: (refused) => receiver.onNotSent(refused),
      onBroken: () => receiver.onLost(),
    },
  });
  pool.dispatch({
    method: hopMethod,
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
