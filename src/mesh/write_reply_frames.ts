import { match } from "ts-pattern";
import { encodeHeadedPayload } from "../frames/encode_headed_payload.ts";
import { FrameKind } from "../frames/frame_kind.ts";
import type { FrameWriter } from "../frames/frame_writer.ts";
import type { CallSignal } from "./call_signal.ts";
import { getGateLoad } from "./get_gate_load.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { offerStatuses } from "./offer_statuses.ts";
import type { ReplyHead } from "./reply_head.ts";
import type { ReplyMessage } from "./reply_message.ts";
import { writeBodyFrames } from "./write_body_frames.ts";

const noBody = Buffer.alloc(0);

interface WriteOptions {
  readonly writer: FrameWriter;
  /** Number of the offer on its connection. */
  readonly offer: number;
  /** Called when the reply has been passed to the system. */
  readonly onEnded: () => void;
  readonly signal: CallSignal;
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
    return writeBodyFrames(body, options);
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
  options.writer.write({
    kind: FrameKind.End,
    offer: options.offer,
    onWritten: options.onEnded,
  });
  return () => undefined;
}

function writeHead(head: ReplyHead, { writer, offer }: WriteOptions): void {
  writer.write(
    { kind: FrameKind.Reply, offer },
    encodeHeadedPayload(head, noBody),
  );
}
