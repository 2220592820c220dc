import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { isFinalStatus } from "../calls/is_final_status.ts";

const protocolName = Buffer.from("HTTP/", "latin1");
const versions: readonly string[] = ["1.0", "1.1"];
/** The only version and the only transfer coding that frame a body in chunks. */
const chunksVersion = "1.1";
const chunksCoding = "chunked";

/**
 * Returns the function that tells whether the head of the answer to a request is
 * one that HTTP/1 defines (RFC 9112, sections 2.3, 4 and 6.1), with an expected
 * status: that of a final answer if omitted. The parser accepts further versions
 * and framings, and answers of protocols of the same form (RTSP) without telling
 * them apart. To be called before the request has its connection.
 */
export function createAnswerCheck(
  request: ClientRequest,
  isExpectedStatus: (status: number) => boolean = isFinalStatus,
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

  return (answer) =>
    start.equals(protocolName) && versions.includes(answer.httpVersion) &&
    isExpectedStatus(answer.statusCode ?? 0) && hasDefinedFraming(answer);
}

/**
 * Other codings than chunks were not requested. Where chunks are not the only and
 * last one, the body ends with the connection or arrives encoded.
 */
function hasDefinedFraming({ httpVersion, headers }: IncomingMessage): boolean {
  const coding = headers["transfer-encoding"];
  if (coding === undefined) return true;
  return coding.toLowerCase() === chunksCoding && httpVersion === chunksVersion;
}
