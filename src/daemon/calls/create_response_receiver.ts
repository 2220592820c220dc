import type { ServerResponse } from "node:http";
import { encodeNodeRefusal } from "../../calls/encode_node_refusal.ts";
import type { AnswerHead } from "../../calls/answer_head.ts";
import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import { ForwardedHeader } from "../../calls/forwarded_header.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import { writeAnswer } from "./write_answer.ts";
import { writeAnswerHead } from "./write_answer_head.ts";

const refusalStatus = 503;
const forwardingMethod = "POST";

/** Creates a receiver that writes the answer as the response to the request that forwarded the call. */
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
  const abortResponse = () => response.destroy();
  return {
    onActivity: () => {
      if (!response.headersSent) {
        response.writeProcessing();
      }
    },
    onLoad: (reported) => {
      freeSlots = reported;
    },
    onCompleteAnswer: (answer) =>
      // The answer to a HEAD call is sent as an empty response to the POST that
      // forwarded it. `Content-Length` is then 0, so the declared length of the
      // answer is sent in a header of the mesh.
      writeAnswer(response, answer, {
        method: forwardingMethod,
        added: call.method === "HEAD"
          ? [...getMeshHeaders(), ...encodeDeclaredLength(answer.head)]
          : getMeshHeaders(),
      }),
    onStreamStart: (head) =>
      writeAnswerHead(response, head, { added: getMeshHeaders() }),
    onChunk: (chunk) => response.write(chunk),
    onStreamEnd: () => response.end(),
    onRefused: (refusal) => {
      response.writeHead(refusalStatus, [
        ...getMeshHeaders(),
        ...encodeNodeRefusal(refusal),
        "content-length",
        "0",
      ]);
      response.end();
    },
    onNotSent: abortResponse,
    onContactLost: abortResponse,
  };
}

function encodeDeclaredLength(head: AnswerHead): string[] {
  return head.declaredLength === undefined
    ? []
    : [ForwardedHeader.DeclaredLength, String(head.declaredLength)];
}
