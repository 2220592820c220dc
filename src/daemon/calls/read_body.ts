import type { IncomingMessage } from "node:http";

/**
 * Reads the complete body of a request. Exactly one callback is called, or none if
 * the request is aborted before its end.
 */
export function readBody(
  request: IncomingMessage,
  options: {
    readonly maximumBytes: number;
    readonly onComplete: (body: Uint8Array | undefined) => void;
    readonly onTooLarge: () => void;
  },
): void {
  const { headers } = request;
  const declared = headers["content-length"];
  if (Number(declared ?? 0) > options.maximumBytes) {
    options.onTooLarge();
    return;
  }
  if (
    headers["transfer-encoding"] === undefined && Number(declared ?? 0) === 0
  ) {
    request.resume();
    options.onComplete(declared === undefined ? undefined : new Uint8Array(0));
    return;
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  let tooLarge = false;
  request.on("data", (chunk: Buffer) => {
    bytes += chunk.byteLength;
    if (tooLarge) {
      return;
    }
    if (bytes > options.maximumBytes) {
      tooLarge = true;
      chunks.length = 0;
      options.onTooLarge();
      return;
    }
    chunks.push(chunk);
  });
  request.on("end", () => {
    if (request.complete && !tooLarge) {
      options.onComplete(
        chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
      );
    }
  });
  request.on("error", () => undefined);
}
