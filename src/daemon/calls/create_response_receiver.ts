import type { ServerResponse } from "node:http";
import { encodeNodeRefusal } from "../../calls/encode_node_refusal.ts";
import type { AnswerHead } from "../../calls/answer_head.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { ForwardedHeader } from "../../calls/forwarded_header.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import { writeAnswer } from "./write_answer.ts";
import { writeAnswerHead } from "./write_answer_head.ts";

const statusOfRefusals = 503;
const hopMethod = "POST";

/** Creates a receiver that answers the request by which a call was handed over. */
export function createResponseReceiver(
  response: ServerResponse,
  call: ForwardedCall,
): AnswerReceiver {
  let freeSlots = 0;
  const getMeshHeaders = () => [
    ForwardedHeader.CallIdentifier,
    call.callIdentifier,
    ForwardedHeader.FreeSlots,
    String(freeSlots),
  ];
  const breakOff = () => response.destroy();
  return {
    onSign: () => {
      if (!response.headersSent) {
        response.writeProcessing();
      }
    },
    onLoad: (reported) => {
      freeSlots = reported;
    },
    onWhole: (answer) =>
      // The answer to HEAD travels as the empty answer to a POST.
      writeAnswer(response, answer, {
        method: hopMethod,
        added: call.method === "HEAD"
          ? [...getMeshHeaders(), ...encodeDeclaredLength(answer.head)]
          : getMeshHeaders(),
      }),
    onStream: (head) =>
      writeAnswerHead(response, head, { added: getMeshHeaders() }),
    onPiece: (piece) => response.write(piece),
    onStreamEnd: () => response.end(),
    onRefused: (answer) => {
      response.writeHead(statusOfRefusals, [
        ...getMeshHeaders(),
        ...encodeNodeRefusal(answer),
        "content-length",
        "0",
      ]);
      response.end();
    },
    onNotSent: breakOff,
    onLost: breakOff,
  };
}

function encodeDeclaredLength(head: AnswerHead): string[] {
  return head.declaredLength === undefined
    ? []
    : [ForwardedHeader.DeclaredLength, String(head.declaredLength)];
}
