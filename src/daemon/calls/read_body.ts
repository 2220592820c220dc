import type { IncomingMessage } from "node:http";

/**
 * Reads a request's body whole. Exactly one callback is called, unless the
 * request breaks off before its end: then none is.
 */
export function readBody(
  request: IncomingMessage,
  options: {
    readonly maximumBytes: number;
    readonly onWhole: (body: Uint8Array | undefined) => void;
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
    options.onWhole(declared === undefined ? undefined : new Uint8Array(0));
    return;
  }
  const pieces: Buffer[] = [];
  let bytes = 0;
  let tooLarge = false;
  request.on("data", (piece: Buffer) => {
    bytes += piece.byteLength;
    if (tooLarge) {
      return;
    }
    if (bytes > options.maximumBytes) {
      tooLarge = true;
      pieces.length = 0;
      options.onTooLarge();
      return;
    }
    pieces.push(piece);
  });
  request.on("end", () => {
    if (request.complete && !tooLarge) {
      options.onWhole(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces));
    }
  });
  request.on("error", () => undefined);
}
