import type { Readable } from "node:stream";
import { Result } from "true-myth";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { createByteCollector } from "../collections/create_byte_collector.ts";
import type { AnswerBody } from "./answer_body.ts";

/** An answer up to this size is sent to the caller only once it is complete. */
const bufferedBytesMaximum = 1_048_576;

/**
 * Reads an answer to its end, or until its size exceeds the buffer limit. Fails
 * with `AnswerBroken` if the answer breaks off before.
 */
export function collectAnswerBody(
  answer: { readonly body: Readable; readonly framed: boolean },
): Promise<Result<AnswerBody, RefusalReason>> {
  const { body, framed } = answer;
  return new Promise((resolve) => {
    const collector = createByteCollector();
    const finish = (rest: Readable | undefined) =>
      resolve(Result.ok({ held: collector.concatenate(), rest, framed }));
    function onData(chunk: Buffer): void {
      collector.add(chunk);
      if (collector.getLength() <= bufferedBytesMaximum) return;
      body.off("data", onData);
      body.pause();
      finish(body);
    }
    const onFailure = () => resolve(Result.err(RefusalReason.AnswerBroken));
    body.on("data", onData);
    body.once("end", () => finish(undefined));
    body.once("error", onFailure);
    body.once("aborted", onFailure);
    body.once("close", onFailure);
    // A body that broke off together with its head emits no further event.
    if (body.destroyed && !body.readableEnded) onFailure();
  });
}
