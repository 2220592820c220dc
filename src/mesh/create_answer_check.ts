import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { isFinalStatus } from "./is_final_status.ts";

const protocolName = Buffer.from("HTTP/", "latin1");
const versions: readonly string[] = ["1.0", "1.1"];

/**
 * Returns the function that tells whether the head of the final answer to a
 * request is one that HTTP/1 defines (RFC 9112, sections 2.3 and 4). The parser
 * accepts further versions, and answers of protocols of the same form (RTSP)
 * without telling them apart. To be called before the request has its connection.
 */
export function createAnswerCheck(
  request: ClientRequest,
): (answer: IncomingMessage) => boolean {
  let start = Buffer.alloc(0);

  request.once("socket", (socket: Socket) => {
    function readStart(bytes: Buffer): void {
      const missingBytes = protocolName.byteLength - start.byteLength;
      start = Buffer.concat([start, bytes.subarray(0, missingBytes)]);
      if (start.byteLength === protocolName.byteLength) {
        socket.off("data", readStart);
      }
    }
    // Before the parser, which reports the head while it reads these bytes.
    socket.prependListener("data", readStart);
    request.once("close", () => socket.off("data", readStart));
  });

  return ({ httpVersion, statusCode = 0 }) =>
    start.equals(protocolName) && versions.includes(httpVersion) &&
    isFinalStatus(statusCode);
}
