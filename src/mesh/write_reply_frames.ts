import type { Readable } from "node:stream";
import { match } from "ts-pattern";
import { encodeHeadedPayload } from "../frames/encode_headed_payload.ts";
import { frameBytes } from "../frames/frame_bytes.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import type { FrameWriter } from "../frames/frame_writer.ts";
import { getGateLoad } from "./get_gate_load.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { offerStatuses } from "./offer_statuses.ts";
import type { ReplyHead } from "./reply_head.ts";
import type { ReplyMessage } from "./reply_message.ts";

const noBody = Buffer.alloc(0);

interface WriteOptions {
  readonly writer: FrameWriter;
  /** Number of the offer on its connection. */
  readonly offer: number;
  /** Called when the reply has been written. */
  readonly onEnded: () => void;
}

/**
 * Writes the reply to an offer on its connection. Returns the function that lets
 * further bytes of the answer be sent.
 */
export function writeReplyFrames(
  node: MeshNode,
  outcome: OfferOutcome,
  options: WriteOptions,
): (bytes: number) => void {
  const load = getGateLoad(node);
  if (outcome.kind === OfferOutcomeKind.Answered) {
    const { kind, framed, status, headers, body } = outcome;
    const reply = { kind, framed, load: outcome.load ?? load };
    writeHead({ reply, status, headers }, options);
    return writeBody(body, options);
  }
  const { reply, status } = match(outcome)
    .returnType<{ readonly reply: ReplyMessage; readonly status: number }>()
    .with({ kind: OfferOutcomeKind.Refused }, (refused) => ({
      reply: {
        kind: refused.kind,
        reason: refused.reason,
        retryMilliseconds: refused.retryMilliseconds,
        reachedBackendServer: refused.reachedBackendServer,
        load,
      },
      status: offerStatuses.refused,
    }))
    .with({ kind: OfferOutcomeKind.Lost }, ({ kind, reason }) => ({
      reply: { kind, reason, load },
      status: offerStatuses.lost,
    }))
    .exhaustive();
  writeHead({ reply, status, headers: [] }, options);
  options.writer.write({ kind: FrameKind.End, offer: options.offer });
  options.onEnded();
  return () => undefined;
}

function writeHead(head: ReplyHead, { writer, offer }: WriteOptions): void {
  writer.write(
    { kind: FrameKind.Reply, offer },
    encodeHeadedPayload(head, noBody),
  );
}

/** Writes a body as it arrives, while what was sent but not used is within the window. */
function writeBody(
  body: Readable,
  { writer, offer, onEnded }: WriteOptions,
): (bytes: number) => void {
  let unusedBytes = 0;
  let hasEnded = false;

  function end(kind: FrameKind): void {
    if (hasEnded) return;
    hasEnded = true;
    writer.write({ kind, offer });
    onEnded();
  }

  const breakOff = () => end(FrameKind.Break);
  body.on("data", (bytes: Buffer) => {
    const count = Math.ceil(bytes.byteLength / frameBytes.dataMaximum);
    Array.from({ length: count }, (_, index) => {
      const start = index * frameBytes.dataMaximum;
      const part = bytes.subarray(start, start + frameBytes.dataMaximum);
      writer.write({ kind: FrameKind.Data, offer }, [part]);
    });
    unusedBytes += bytes.byteLength;
    if (unusedBytes >= frameBytes.windowMaximum) body.pause();
  });
  body.once("end", () => end(FrameKind.End));
  // A broken answer must not look complete to the other node.
  body.once("error", breakOff);
  body.once("aborted", breakOff);
  body.once("close", breakOff);
  if (body.destroyed && !body.readableEnded) breakOff();
  return (bytes) => {
    unusedBytes -= bytes;
    if (unusedBytes < frameBytes.windowMaximum && body.isPaused()) {
      body.resume();
    }
  };
}
