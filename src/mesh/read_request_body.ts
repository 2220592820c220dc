import type { IncomingMessage } from "node:http";
import { Result } from "true-myth";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createByteCollector } from "../collections/create_byte_collector.ts";
import type { CallSignal } from "./call_signal.ts";

const noBody = Buffer.alloc(0);

/**
 * Reads a complete request body. Fails with `RequestTooLarge` above the limit,
 * with `CallerLeft` if the request breaks off, and with `DeadlinePassed` if
 * `signal` is aborted before its end.
 */
export function readRequestBody(
  request: IncomingMessage,
  options: { readonly bytesMaximum: number; readonly signal: CallSignal },
): Promise<Result<Buffer, RefusalReason>> {
  const declared = request.headers["content-length"];
  const isChunked = request.headers["transfer-encoding"] !== undefined;
  if (!isChunked && (declared === undefined || declared === "0")) {
    request.resume();
    return Promise.resolve(Result.ok(noBody));
  }
  return new Promise((resolve) => {
    const collector = createByteCollector();
    let bytes = 0;
    options.signal.addEventListener(
      "abort",
      () => resolve(Result.err(RefusalReason.DeadlinePassed)),
      { once: true },
    );
    request.on("data", (chunk: Buffer) => {
      bytes += chunk.byteLength;
      if (bytes <= options.bytesMaximum) {
        collector.add(chunk);
        return;
      }
      collector.clear();
      resolve(Result.err(RefusalReason.RequestTooLarge));
    });
    request.once("end", () => resolve(Result.ok(collector.concatenate())));
    request.once("close", () => resolve(Result.err(RefusalReason.CallerLeft)));
    request.once("error", () => resolve(Result.err(RefusalReason.CallerLeft)));
  });
}
